package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Delegates to another store and runs a callback of the test after each list and each write. */
final class HookedObjectStore implements ObjectStore {
    private final ObjectStore mStore;
    private final Runnable mAfterList;
    private final Runnable mAfterWrite;

    HookedObjectStore(ObjectStore store, Runnable afterList, Runnable afterWrite) {
        mStore = store;
        mAfterList = afterList;
        mAfterWrite = afterWrite;
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
        return mStore.read(collection, name);
    }

    @Override
    public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
        return mStore.list(collection).doOnNext(result -> mAfterList.run());
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> create(
            String collection, String name, ObjectNode spec) {
        return mStore.create(collection, name, spec).doOnNext(result -> mAfterWrite.run());
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> update(
            String collection, String name, long expectedVersion, ObjectNode spec) {
        return mStore.update(collection, name, expectedVersion, spec)
                .doOnNext(result -> mAfterWrite.run());
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> delete(
            String collection, String name, long expectedVersion) {
        return mStore.delete(collection, name, expectedVersion);
    }

    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        return mStore.watch(collection, fromVersion);
    }
}
