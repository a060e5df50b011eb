package org.vanillaslip.internal.quota;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Stores one collection in memory and injects the configured fault into every other write. */
final class FaultyMemoryStore implements ObjectStore {

    private final Map<String, StoredObject> mObjects = new TreeMap<>();
    private Sinks.Many<WatchEvent> mEvents = Sinks.many().multicast().directBestEffort();
    private Optional<StoreFault> mFault = Optional.empty();
    private int mWriteCount;
    private long mVersion;

    void setFault(StoreFault fault) {
        mFault = Optional.of(fault);
    }

    int writeCount() {
        return mWriteCount;
    }

    boolean isWatched() {
        return mEvents.currentSubscriberCount() > 0;
    }

    void endWatches() {
        replaceEvents().tryEmitComplete();
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
        return Mono.just(Either.right(mObjects.get(name)));
    }

    @Override
    public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
        return Mono.just(Either.right(new ObjectList(mVersion, List.copyOf(mObjects.values()))));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> create(
            String collection, String name, ObjectNode spec) {
        return update(collection, name, 0, spec);
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> update(
            String collection, String name, long expectedVersion, ObjectNode spec) {
        if (mFault.isEmpty() || ++mWriteCount % 2 == 0) {
            return put(collection, name, expectedVersion, spec);
        }
        PlatformFailure outcomeUnknown = PlatformFailure.OUTCOME_UNKNOWN;
        switch (mFault.get()) {
            case LOST_WITHOUT_EFFECT:
                return Mono.just(Either.left(outcomeUnknown));
            case UNAVAILABLE:
                return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
            case CONFLICT:
                put(collection, name, expectedVersion, spec);
                return put(collection, name, expectedVersion, spec);
            case LOST_AFTER_EFFECT:
                return put(collection, name, expectedVersion, spec)
                        .thenReturn(Either.left(outcomeUnknown));
            case WATCH_FAILED:
                replaceEvents().tryEmitError(new IllegalStateException("watch failed"));
                return put(collection, name, expectedVersion, spec);
            case WATCH_ENDED:
                replaceEvents().tryEmitComplete();
                return put(collection, name, expectedVersion, spec);
            default:
                replaceEvents().tryEmitComplete();
                return put(collection, name, expectedVersion, spec)
                        .thenReturn(Either.left(outcomeUnknown));
        }
    }

    private Sinks.Many<WatchEvent> replaceEvents() {
        Sinks.Many<WatchEvent> ended = mEvents;
        mEvents = Sinks.many().multicast().directBestEffort();
        return ended;
    }

    private Mono<Either<PlatformFailure, StoredObject>> put(
            String collection, String name, long expectedVersion, ObjectNode spec) {
        StoredObject current = mObjects.get(name);
        if ((current == null ? 0 : current.version()) != expectedVersion) {
            return Mono.just(Either.left(PlatformFailure.CONFLICT));
        }
        StoredObject object = new StoredObject(collection, name, ++mVersion, spec);
        mObjects.put(name, object);
        mEvents.tryEmitNext(new WatchEvent(WatchEventType.MODIFIED, object));
        return Mono.just(Either.right(object));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> delete(
            String collection, String name, long expectedVersion) {
        return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
    }

    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        return mEvents.asFlux();
    }
}
