package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.function.BooleanSupplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Rejects calls that exceed the call budget of this host, without sending them to the platform. */
public final class BudgetedObjectStore implements ObjectStore {

    private final ObjectStore mStore;
    private final CallBudget mBudget;

    /** Creates a store that takes one token from the budget when a call is subscribed to. */
    public BudgetedObjectStore(ObjectStore store, CallBudget budget) {
        mStore = store;
        mBudget = budget;
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
        return charge(tokenSource(collection), mStore.read(collection, name));
    }

    @Override
    public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
        return charge(mBudget::tryAcquire, mStore.list(collection));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> create(
            String collection, String name, ObjectNode spec) {
        return charge(tokenSource(collection), mStore.create(collection, name, spec));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> update(
            String collection, String name, long expectedVersion, ObjectNode spec) {
        return charge(
                tokenSource(collection), mStore.update(collection, name, expectedVersion, spec));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> delete(
            String collection, String name, long expectedVersion) {
        return charge(tokenSource(collection), mStore.delete(collection, name, expectedVersion));
    }

    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        return Flux.defer(
                () ->
                        mBudget.tryAcquireReserved()
                                ? mStore.watch(collection, fromVersion)
                                : Flux.error(budgetExhausted(collection)));
    }

    private static PlatformException budgetExhausted(String collection) {
        return new PlatformException(
                PlatformFailure.THROTTLED,
                "Cannot open the watch of '"
                        + collection
                        + "': the call budget of this host is exhausted.");
    }

    /**
     * Calls for control shards may use the reserved tokens. This includes reads, because a read
     * after a lost response also decides whether this host has the lease.
     */
    private BooleanSupplier tokenSource(String collection) {
        return collection.equals(PlatformCollections.CONTROL_SHARDS)
                ? mBudget::tryAcquireReserved
                : mBudget::tryAcquire;
    }

    private static <T> Mono<Either<PlatformFailure, T>> charge(
            BooleanSupplier tokenSource, Mono<Either<PlatformFailure, T>> call) {
        return Mono.defer(
                () ->
                        tokenSource.getAsBoolean()
                                ? call
                                : Mono.just(Either.left(PlatformFailure.THROTTLED)));
    }
}
