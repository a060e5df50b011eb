package org.vanillaslip.internal.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.PlatformException;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Object store that forwards calls to the platform's store and tracks whether it answers. During an
 * outage lists and watches wait until the store answers again.
 */
public final class HealthTrackingObjectStore implements ObjectStore {

    /** Entries that expired during an outage are listed again within this time after it. */
    private static final long RECOVERY_NANOS = Duration.ofMillis(2500).toNanos();

    /**
     * Calls must fail for this long for an outage. Shorter than the silence after which the store
     * removes the entry of a live server, but longer than a single failed call and its repetition.
     */
    private static final long MIN_OUTAGE_NANOS = Duration.ofMillis(500).toNanos();

    private final ObjectStore mStore;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final StoreGate mGate;
    private long mFirstFailedAt;
    private long mLastFailedAt;
    private long mOutageEndedAt = Long.MIN_VALUE;
    private boolean mUnavailable;

    /** Creates a store that forwards calls to the given one. */
    public HealthTrackingObjectStore(ObjectStore store, DecisionLoop loop, EventLog log) {
        mStore = store;
        mLoop = loop;
        mLog = log;
        mGate =
                new StoreGate(
                        Mono.defer(
                                () ->
                                        readRecent(
                                                PlatformCollections.CONTROL_SHARDS,
                                                FleetLease.NAME)),
                        loop);
    }

    /**
     * Returns whether there is or recently was an outage in which entries of live servers may have
     * expired. Single failed calls are no outage.
     */
    public boolean wasRecentlyUnavailable() {
        return mUnavailable
                ? isOutage()
                : mOutageEndedAt != Long.MIN_VALUE
                        && mLoop.clock().nowNanos() - mOutageEndedAt < RECOVERY_NANOS;
    }

    private boolean isOutage() {
        return mLastFailedAt - mFirstFailedAt >= MIN_OUTAGE_NANOS;
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
        return trackResult(mStore.read(collection, name));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> readRecent(String collection, String name) {
        return trackResult(mStore.readRecent(collection, name));
    }

    @Override
    public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
        return mGate.awaitOpen().then(Mono.defer(() -> trackResult(mStore.list(collection))));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> create(
            String collection, String name, ObjectNode spec) {
        return trackResult(mStore.create(collection, name, spec));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> update(
            String collection, String name, long expectedVersion, ObjectNode spec) {
        return trackResult(mStore.update(collection, name, expectedVersion, spec));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> delete(
            String collection, String name, long expectedVersion) {
        return trackResult(mStore.delete(collection, name, expectedVersion));
    }

    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        return mGate.awaitOpen()
                .thenMany(Flux.defer(() -> mStore.watch(collection, fromVersion)))
                .doOnNext(event -> recordAnswer())
                .doOnError(
                        error -> {
                            if (error instanceof PlatformException failure) {
                                recordFailure(failure.failure());
                            }
                        });
    }

    private <T> Mono<Either<PlatformFailure, T>> trackResult(
            Mono<Either<PlatformFailure, T>> call) {
        return call.doOnNext(
                result -> result.peek(value -> recordAnswer()).peekLeft(this::recordFailure));
    }

    private void recordFailure(PlatformFailure failure) {
        switch (failure) {
            case NOT_FOUND, CONFLICT, GONE -> recordAnswer();
            case THROTTLED, UNAVAILABLE, OUTCOME_UNKNOWN, SILENT -> {
                mLastFailedAt = mLoop.clock().nowNanos();
                if (!mUnavailable) {
                    mUnavailable = true;
                    mFirstFailedAt = mLastFailedAt;
                    mGate.close();
                    mLog.log(FleetEvent.STORE_LOST);
                }
            }
        }
    }

    private void recordAnswer() {
        if (mUnavailable) {
            mUnavailable = false;
            if (isOutage()) {
                mOutageEndedAt = mLoop.clock().nowNanos();
            }
            mGate.open();
            mLog.log(FleetEvent.STORE_REGAINED);
        }
    }
}
