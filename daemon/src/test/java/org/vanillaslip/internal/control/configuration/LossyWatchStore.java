package org.vanillaslip.internal.control.configuration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.concurrent.atomic.AtomicBoolean;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** A read-only store whose watches can drop changes but keep sending bookmarks. */
record LossyWatchStore(ObjectStore store, AtomicBoolean lossy) implements ObjectStore {

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
        return store.read(collection, name);
    }

    @Override
    public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
        return store.list(collection);
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> create(
            String collection, String name, ObjectNode spec) {
        return Mono.error(new UnsupportedOperationException());
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> update(
            String collection, String name, long expectedVersion, ObjectNode spec) {
        return Mono.error(new UnsupportedOperationException());
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> delete(
            String collection, String name, long expectedVersion) {
        return Mono.error(new UnsupportedOperationException());
    }

    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        return store.watch(collection, fromVersion)
                .filter(event -> !lossy.get() || event.type() == WatchEventType.BOOKMARK);
    }
}
