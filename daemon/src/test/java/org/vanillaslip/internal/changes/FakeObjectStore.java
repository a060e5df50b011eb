package org.vanillaslip.internal.changes;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformException;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/** One host's access to a shared collection, which a test can make unavailable or silent. */
final class FakeObjectStore implements ObjectStore {

    /** The collection that all hosts read. */
    static final class SharedCollection {
        private final List<WatchEvent> mEvents = new ArrayList<>();
        private final Sinks.Many<WatchEvent> mChanges = Sinks.many().multicast().directBestEffort();
        private long mRevision = 10;

        void change(String collection, String name, WatchEventType type) {
            mRevision++;
            ObjectNode spec =
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("revision", mRevision)
                            .put("text", "x".repeat(4000));
            WatchEvent event =
                    new WatchEvent(type, new StoredObject(collection, name, mRevision, spec));
            mEvents.add(event);
            mChanges.tryEmitNext(event);
        }

        long revision() {
            return mRevision;
        }
    }

    /** As in deployments with relays: one second, and the time of a response. */
    private static final Duration WATCH_TIMEOUT = Duration.ofMillis(1600);

    /** A watch without changes is answered at least this often. */
    private static final Duration BOOKMARK_INTERVAL = Duration.ofMillis(1000);

    private static final Duration RESPONSE_DELAY = Duration.ofMillis(4);

    /** Calls to an unavailable store fail after this time. */
    private static final Duration FAILURE_DELAY = Duration.ofMillis(300);

    private final SharedCollection mShared;
    private final Scheduler mScheduler;
    private final Sinks.Many<Boolean> mWatchFailures = Sinks.many().multicast().directBestEffort();
    private boolean mUnavailable;
    private boolean mSilent;
    private int mWatchCount;
    private int mListCount;

    FakeObjectStore(SharedCollection shared, Scheduler scheduler) {
        mShared = shared;
        mScheduler = scheduler;
    }

    /** Makes all calls and open watches fail, or lets calls succeed again. */
    void setUnavailable(boolean unavailable) {
        mUnavailable = unavailable;
        if (unavailable) {
            mWatchFailures.tryEmitNext(true);
        }
    }

    /** Watches deliver no events until they time out and lists fail, as after a lost connection. */
    void setSilent(boolean silent) {
        mSilent = silent;
    }

    int watchCount() {
        return mWatchCount;
    }

    int listCount() {
        return mListCount;
    }

    @Override
    public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
        mListCount++;
        return Mono.delay(mUnavailable || mSilent ? FAILURE_DELAY : RESPONSE_DELAY, mScheduler)
                .map(
                        tick ->
                                mUnavailable || mSilent
                                        ? Either.left(PlatformFailure.UNAVAILABLE)
                                        : Either.right(
                                                new ObjectList(
                                                        mShared.mRevision,
                                                        mShared.mEvents.stream()
                                                                .map(WatchEvent::object)
                                                                .toList())));
    }

    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        return Flux.defer(
                () -> {
                    mWatchCount++;
                    if (mUnavailable) {
                        return Mono.delay(FAILURE_DELAY, mScheduler)
                                .flatMapMany(
                                        tick ->
                                                Flux.error(
                                                        new PlatformException(
                                                                PlatformFailure.UNAVAILABLE,
                                                                "The store is unavailable.")));
                    }
                    List<WatchEvent> missed =
                            mShared.mEvents.stream()
                                    .filter(event -> event.object().version() > fromVersion)
                                    .toList();
                    Flux<WatchEvent> changes =
                            Flux.fromIterable(missed).concatWith(mShared.mChanges.asFlux());
                    Flux<WatchEvent> bookmarks =
                            Flux.interval(BOOKMARK_INTERVAL, mScheduler)
                                    .map(tick -> bookmark(collection));
                    Flux<WatchEvent> failures =
                            Flux.interval(WATCH_TIMEOUT, mScheduler)
                                    .filter(tick -> mSilent)
                                    .map(tick -> PlatformFailure.SILENT)
                                    .mergeWith(
                                            mWatchFailures
                                                    .asFlux()
                                                    .map(failed -> PlatformFailure.UNAVAILABLE))
                                    .flatMap(
                                            failure ->
                                                    Flux.error(
                                                            new PlatformException(
                                                                    failure,
                                                                    "The store is unavailable.")));
                    return changes.mergeWith(bookmarks)
                            .filter(event -> !mSilent && !mUnavailable)
                            .mergeWith(failures);
                });
    }

    private WatchEvent bookmark(String collection) {
        return new WatchEvent(
                WatchEventType.BOOKMARK,
                new StoredObject(
                        collection, "", mShared.mRevision, JsonNodeFactory.instance.objectNode()));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
        return Mono.just(Either.left(PlatformFailure.NOT_FOUND));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> create(
            String collection, String name, ObjectNode spec) {
        return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> update(
            String collection, String name, long expectedVersion, ObjectNode spec) {
        return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> delete(
            String collection, String name, long expectedVersion) {
        return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
    }
}
