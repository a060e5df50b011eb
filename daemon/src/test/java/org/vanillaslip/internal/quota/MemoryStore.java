package org.vanillaslip.internal.quota;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
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

/** One collection in memory. */
final class MemoryStore implements ObjectStore {

    private final Map<String, StoredObject> mObjects = new TreeMap<>();
    private final Sinks.Many<WatchEvent> mEvents = Sinks.many().multicast().directBestEffort();
    private long mVersion;

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
        StoredObject known = mObjects.get(name);
        if ((known == null ? 0 : known.version()) != expectedVersion) {
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
