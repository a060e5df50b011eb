package org.vanillaslip.internal.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** In-memory object store that injects a fault into the next calls of one operation. */
final class FakeStore implements ObjectStore {

    enum Fault {
        NONE,
        DOWN,
        LOST_BEFORE_EFFECT,
        LOST_AFTER_EFFECT,
        HANGS_BEFORE_EFFECT,
        HANGS_AFTER_EFFECT
    }

    private final Map<String, StoredObject> mObjects = new ConcurrentHashMap<>();
    private String mFaultyOperation = "";
    private Fault mFault = Fault.NONE;
    private int mRemainingFaults;
    private long mVersion;

    synchronized void injectFault(String operation, Fault fault, int times) {
        mFaultyOperation = operation;
        mFault = fault;
        mRemainingFaults = times;
    }

    int size() {
        return mObjects.size();
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
        return execute(
                "read",
                () -> {
                    StoredObject stored = mObjects.get(name);
                    return stored == null
                            ? Either.left(PlatformFailure.NOT_FOUND)
                            : Either.right(stored);
                });
    }

    @Override
    public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> create(
            String collection, String name, ObjectNode spec) {
        return execute(
                "create",
                () ->
                        mObjects.containsKey(name)
                                ? Either.left(PlatformFailure.CONFLICT)
                                : Either.right(put(collection, name, spec)));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> update(
            String collection, String name, long expectedVersion, ObjectNode spec) {
        return execute(
                "update",
                () -> {
                    StoredObject stored = mObjects.get(name);
                    if (stored == null) {
                        return Either.left(PlatformFailure.NOT_FOUND);
                    }
                    return stored.version() == expectedVersion
                            ? Either.right(put(collection, name, spec))
                            : Either.left(PlatformFailure.CONFLICT);
                });
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> delete(
            String collection, String name, long expectedVersion) {
        return execute(
                "delete",
                () -> {
                    StoredObject stored = mObjects.get(name);
                    if (stored == null || stored.version() != expectedVersion) {
                        return Either.left(PlatformFailure.CONFLICT);
                    }
                    mObjects.remove(name);
                    return Either.right(stored);
                });
    }

    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        return Flux.never();
    }

    private StoredObject put(String collection, String name, ObjectNode spec) {
        StoredObject stored = new StoredObject(collection, name, ++mVersion, spec);
        mObjects.put(name, stored);
        return stored;
    }

    private Mono<Either<PlatformFailure, StoredObject>> execute(
            String operation, Supplier<Either<PlatformFailure, StoredObject>> effect) {
        return Mono.defer(
                () -> {
                    synchronized (this) {
                        Fault fault = nextFault(operation);
                        boolean takesEffect =
                                fault == Fault.NONE
                                        || fault == Fault.LOST_AFTER_EFFECT
                                        || fault == Fault.HANGS_AFTER_EFFECT;
                        Either<PlatformFailure, StoredObject> result =
                                takesEffect
                                        ? effect.get()
                                        : Either.left(PlatformFailure.UNAVAILABLE);
                        return switch (fault) {
                            case NONE, DOWN -> Mono.just(result);
                            case LOST_BEFORE_EFFECT, LOST_AFTER_EFFECT ->
                                    Mono.just(Either.left(PlatformFailure.OUTCOME_UNKNOWN));
                            case HANGS_BEFORE_EFFECT, HANGS_AFTER_EFFECT -> Mono.never();
                        };
                    }
                });
    }

    private Fault nextFault(String operation) {
        if (mRemainingFaults <= 0 || !mFaultyOperation.equals(operation)) {
            return Fault.NONE;
        }
        mRemainingFaults--;
        return mFault;
    }
}
