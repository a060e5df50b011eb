package org.vanillaslip.internal.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformException;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.PollTime;
import org.vanillaslip.internal.platform.StoreVersion;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Collections of the platform's store in virtual time. Hosts watch it by long polls and pause after
 * each poll that returned changes, as on the users' platform.
 */
final class SimulatedStore {

    private static final Duration RESPONSE_DELAY = Duration.ofMillis(4);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(10);
    private static final Duration POLL_TIME = Duration.ofMillis(1000);

    /** Time after which a call without a response fails. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(600);

    private final Scheduler mScheduler;
    private final Duration mWatchPause;
    private final Map<String, StoredObject> mObjects = new LinkedHashMap<>();
    private final List<WatchEvent> mHistory = new ArrayList<>();
    private final Map<String, StoredObject> mCopy = new LinkedHashMap<>();
    private long mCopiedRevision;
    private long mEra;
    private long mRevision = 10;
    private long mHistoryStart;
    private long mMutedSince = Long.MAX_VALUE;
    private long mCutCount;

    /** How the store treats the calls of one host. */
    enum Treatment {
        ANSWERED,
        REFUSED,
        SILENT,

        /** Watches get no response, all other calls are answered. */
        WATCH_SILENT,

        /** Watches and lists show the state at the time at which the treatment began. */
        STALE
    }

    SimulatedStore(Scheduler scheduler, Duration watchPause) {
        mScheduler = scheduler;
        mWatchPause = watchPause;
    }

    void put(String collection, String name, ObjectNode spec) {
        StoredObject object = new StoredObject(collection, name, ++mRevision, spec);
        mObjects.put(name, object);
        mHistory.add(new WatchEvent(WatchEventType.MODIFIED, object));
    }

    void remove(String collection, String name) {
        mObjects.remove(name);
        mHistory.add(
                new WatchEvent(
                        WatchEventType.DELETED,
                        new StoredObject(
                                collection,
                                name,
                                ++mRevision,
                                JsonNodeFactory.instance.objectNode())));
    }

    /** Copies the store as it is now. */
    void copy() {
        mCopy.clear();
        mCopy.putAll(mObjects);
        mCopiedRevision = mRevision;
    }

    /** Replaces the store by its copy; its revisions are given out again, in a new era. */
    void restore() {
        mObjects.clear();
        mObjects.putAll(mCopy);
        mRevision = mCopiedRevision;
        mHistory.removeIf(event -> event.object().version() > mCopiedRevision);
        mEra++;
        mCutCount++;
    }

    /** Withholds all changes from now on from open and new watches. */
    void muteWatches() {
        mMutedSince = mRevision;
    }

    /** Drops the history and cuts all open watches, which then deliver changes again. */
    void dropHistory() {
        mHistory.clear();
        mHistoryStart = mRevision;
        mMutedSince = Long.MAX_VALUE;
        mCutCount++;
    }

    /** The store as seen by one host. */
    final class Access implements ObjectStore {

        private final Map<String, Integer> mPollCounts = new HashMap<>();
        private Treatment mTreatment = Treatment.ANSWERED;
        private long mStaleRevision;

        void setTreatment(Treatment treatment) {
            mTreatment = treatment;
            mStaleRevision = mRevision;
        }

        /** Returns the number of watch calls of the collection that this host has sent. */
        int pollCount(String collection) {
            return mPollCounts.getOrDefault(collection, 0);
        }

        private long newestRevision() {
            long newest = Math.min(mRevision, mMutedSince);
            return mTreatment == Treatment.STALE ? Math.min(newest, mStaleRevision) : newest;
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
            return respond(
                    () ->
                            mObjects.containsKey(name)
                                    ? Either.right(mObjects.get(name).inEra(mEra))
                                    : Either.left(PlatformFailure.NOT_FOUND));
        }

        @Override
        public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
            return respond(
                    () -> {
                        long newest = mTreatment == Treatment.STALE ? mStaleRevision : mRevision;
                        List<StoredObject> objects =
                                mObjects.values().stream()
                                        .filter(object -> object.collection().equals(collection))
                                        .filter(object -> object.version() <= newest)
                                        .toList();
                        return Either.right(new ObjectList(newest, objects).inEra(mEra));
                    });
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> create(
                String collection, String name, ObjectNode spec) {
            return respond(() -> Either.left(PlatformFailure.CONFLICT));
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> update(
                String collection, String name, long expectedVersion, ObjectNode spec) {
            return respond(() -> Either.left(PlatformFailure.CONFLICT));
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> delete(
                String collection, String name, long expectedVersion) {
            return respond(() -> Either.left(PlatformFailure.CONFLICT));
        }

        @Override
        public Flux<WatchEvent> watch(String collection, long fromVersion) {
            return watch(collection, fromVersion, usual -> usual);
        }

        @Override
        public Flux<WatchEvent> watch(String collection, long fromVersion, PollTime pollTime) {
            AtomicLong position = new AtomicLong(fromVersion);
            return Flux.defer(() -> poll(collection, position, pollTime.next(POLL_TIME).toMillis()))
                    .repeatWhen(
                            polls ->
                                    polls.concatMap(
                                            events ->
                                                    Mono.delay(
                                                            events > 1
                                                                    ? mWatchPause
                                                                    : Duration.ZERO,
                                                            mScheduler)));
        }

        private Flux<WatchEvent> poll(String collection, AtomicLong position, long pollMillis) {
            mPollCounts.merge(collection, 1, Integer::sum);
            long started = now();
            long cuts = mCutCount;
            return Flux.interval(RESPONSE_DELAY, CHECK_INTERVAL, mScheduler)
                    .concatMap(
                            tick -> answer(collection, position.get(), started, pollMillis, cuts))
                    .next()
                    .flatMapIterable(events -> events)
                    .doOnNext(
                            event ->
                                    position.accumulateAndGet(event.object().version(), Math::max));
        }

        /** Returns the answer to a poll, or empty while the poll is still waiting. */
        private Mono<List<WatchEvent>> answer(
                String collection,
                long fromVersion,
                long startedMillis,
                long pollMillis,
                long cuts) {
            long position = StoreVersion.revision(fromVersion);
            long waited = now() - startedMillis;
            if (mTreatment == Treatment.REFUSED || cuts != mCutCount) {
                return failure(PlatformFailure.UNAVAILABLE);
            }
            if (mTreatment == Treatment.SILENT || mTreatment == Treatment.WATCH_SILENT) {
                return waited >= pollMillis + RESPONSE_TIMEOUT.toMillis()
                        ? failure(PlatformFailure.UNAVAILABLE)
                        : Mono.empty();
            }
            if (position < mHistoryStart || StoreVersion.era(fromVersion) < mEra) {
                return failure(PlatformFailure.GONE);
            }
            List<WatchEvent> changes = changesAfter(position, newestRevision(), collection);
            if (changes.isEmpty() && waited < pollMillis) {
                return Mono.empty();
            }
            List<WatchEvent> events = new ArrayList<>(changes);
            events.add(bookmark(collection, Math.max(position, newestRevision())));
            return Mono.just(events.stream().map(event -> event.inEra(mEra)).toList());
        }

        private <T> Mono<Either<PlatformFailure, T>> respond(
                Supplier<Either<PlatformFailure, T>> answer) {
            return Mono.defer(
                    () ->
                            Mono.delay(
                                            mTreatment == Treatment.SILENT
                                                    ? RESPONSE_TIMEOUT
                                                    : RESPONSE_DELAY,
                                            mScheduler)
                                    .map(
                                            tick ->
                                                    mTreatment == Treatment.REFUSED
                                                                    || mTreatment
                                                                            == Treatment.SILENT
                                                            ? Either.left(
                                                                    PlatformFailure.UNAVAILABLE)
                                                            : answer.get()));
        }
    }

    /** Reads the history from its end, since polls ask only for the newest changes. */
    private List<WatchEvent> changesAfter(long position, long newest, String collection) {
        Deque<WatchEvent> changes = new ArrayDeque<>();
        for (int index = mHistory.size() - 1; index >= 0; index--) {
            StoredObject object = mHistory.get(index).object();
            if (object.version() <= position) {
                break;
            }
            if (object.version() <= newest && object.collection().equals(collection)) {
                changes.addFirst(mHistory.get(index));
            }
        }
        return List.copyOf(changes);
    }

    private static WatchEvent bookmark(String collection, long revision) {
        return new WatchEvent(
                WatchEventType.BOOKMARK,
                new StoredObject(collection, "", revision, JsonNodeFactory.instance.objectNode()));
    }

    private static Mono<List<WatchEvent>> failure(PlatformFailure failure) {
        return Mono.error(new PlatformException(failure, "The poll failed: " + failure));
    }

    private long now() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
