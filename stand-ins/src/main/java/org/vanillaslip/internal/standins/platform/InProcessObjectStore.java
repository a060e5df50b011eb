package org.vanillaslip.internal.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.Supplier;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformException;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchIdleTimeout;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Object store client of one caller that bypasses HTTP, with the same faults as over HTTP. */
public final class InProcessObjectStore implements ObjectStore {

    /** Interval at which the platform sends bookmarks to open watches. */
    public static final Duration BOOKMARK_INTERVAL = Duration.ofSeconds(5);

    private final ObjectStorage mStorage;
    private final PlatformFaults mFaults;
    private final CallCounts mCounts;
    private final Scheduler mScheduler;
    private final String mFailureDomain;

    /**
     * Creates the store of a caller in the given failure domain; the scheduler may use virtual
     * time.
     */
    public InProcessObjectStore(
            ObjectStorage storage,
            PlatformFaults faults,
            CallCounts counts,
            Scheduler scheduler,
            String failureDomain) {
        mStorage = storage;
        mFaults = faults;
        mCounts = counts;
        mScheduler = scheduler;
        mFailureDomain = failureDomain;
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
        return call(CallKind.READ, () -> mStorage.read(collection, name));
    }

    @Override
    public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
        return call(CallKind.LIST, () -> Either.right(mStorage.list(collection)));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> create(
            String collection, String name, ObjectNode spec) {
        return call(CallKind.CREATE, () -> mStorage.create(collection, name, spec));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> update(
            String collection, String name, long expectedVersion, ObjectNode spec) {
        return call(
                CallKind.UPDATE, () -> mStorage.update(collection, name, expectedVersion, spec));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> delete(
            String collection, String name, long expectedVersion) {
        return call(CallKind.DELETE, () -> mStorage.delete(collection, name, expectedVersion));
    }

    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        Flux<WatchEvent> events =
                Flux.defer(
                        () -> {
                            mCounts.increment(CallKind.WATCH);
                            return mFaults.isReachableFrom(mFailureDomain)
                                    ? withBookmarks(mStorage.watch(collection, fromVersion))
                                    : Flux.error(unreachableException());
                        });
        return WatchIdleTimeout.apply(
                new WatchFaultInjector(mFaults).apply(mFailureDomain, events), mScheduler);
    }

    private Flux<WatchEvent> withBookmarks(Flux<WatchEvent> events) {
        Flux<WatchEvent> bookmarkTimer =
                Flux.interval(BOOKMARK_INTERVAL, mScheduler)
                        .doOnNext(tick -> mStorage.sendBookmarks())
                        .ignoreElements()
                        .cast(WatchEvent.class)
                        .flux();
        return events.mergeWith(bookmarkTimer);
    }

    private <T> Mono<Either<PlatformFailure, T>> call(
            CallKind kind, Supplier<Either<PlatformFailure, T>> action) {
        return Mono.defer(
                () -> {
                    mCounts.increment(kind);
                    if (!mFaults.isReachableFrom(mFailureDomain)) {
                        return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
                    }
                    if (mFaults.consumeThrottledCall().isPresent()) {
                        return Mono.just(Either.left(PlatformFailure.THROTTLED));
                    }
                    Either<PlatformFailure, T> result = action.get();
                    boolean isResponseLost = kind.isWrite() && mFaults.consumeLostWriteAnswer();
                    return withLatency(
                            isResponseLost ? Either.left(PlatformFailure.OUTCOME_UNKNOWN) : result);
                });
    }

    private <T> Mono<T> withLatency(T result) {
        Duration latency = mFaults.latency();
        return latency.isZero()
                ? Mono.just(result)
                : Mono.delay(latency, mScheduler).thenReturn(result);
    }

    private static PlatformException unreachableException() {
        return new PlatformException(
                PlatformFailure.UNAVAILABLE,
                "The platform is unreachable because of an injected fault.");
    }
}
