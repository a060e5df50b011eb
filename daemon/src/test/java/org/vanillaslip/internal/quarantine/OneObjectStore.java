package org.vanillaslip.internal.quarantine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.Optional;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** A store with a single object, which a test can make unavailable. */
final class OneObjectStore implements ObjectStore {

    private Optional<StoredObject> mObject = Optional.empty();
    private boolean mUnavailable;
    private int mWriteCount;

    void setUnavailable(boolean unavailable) {
        mUnavailable = unavailable;
    }

    int writeCount() {
        return mWriteCount;
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
        if (mUnavailable) {
            return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
        }
        return Mono.just(
                mObject.<Either<PlatformFailure, StoredObject>>map(Either::right)
                        .orElse(Either.left(PlatformFailure.NOT_FOUND)));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> create(
            String collection, String name, ObjectNode spec) {
        return write(collection, name, 0, spec);
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> update(
            String collection, String name, long expectedVersion, ObjectNode spec) {
        return write(collection, name, expectedVersion, spec);
    }

    private Mono<Either<PlatformFailure, StoredObject>> write(
            String collection, String name, long expectedVersion, ObjectNode spec) {
        if (mUnavailable) {
            return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
        }
        if (expectedVersion != mObject.map(StoredObject::version).orElse(0L)) {
            return Mono.just(Either.left(PlatformFailure.CONFLICT));
        }
        mWriteCount++;
        StoredObject written = new StoredObject(collection, name, expectedVersion + 1, spec);
        mObject = Optional.of(written);
        return Mono.just(Either.right(written));
    }

    @Override
    public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
        throw new UnsupportedOperationException("not used");
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> delete(
            String collection, String name, long expectedVersion) {
        throw new UnsupportedOperationException("not used");
    }

    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        throw new UnsupportedOperationException("not used");
    }
}
