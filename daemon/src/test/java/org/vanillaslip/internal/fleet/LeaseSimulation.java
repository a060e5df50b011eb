package org.vanillaslip.internal.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.vanillaslip.internal.lease.LeaseTimes;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Simulated hosts with separate clocks and a shared store; records when each may send orders. */
final class LeaseSimulation {

    static final Duration HANDOVER_DELAY = Duration.ofSeconds(3);
    private static final Duration STEP = Duration.ofMillis(10);

    /** Time at which a host was allowed to send an order. */
    record Order(long atMillis, String host, long term) {}

    /** Simulated host, whose monotonic clock stops while it is suspended. */
    final class TestHost implements ObjectStore {
        final String mName;
        VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create(true);
        FleetLease mLease;
        boolean mSuspended;
        boolean mDead;
        boolean mStoreUnavailable;
        boolean mResponsesLost;
        long mWallClockStepMillis;
        int mReads;

        TestHost(String name) {
            mName = name;
            mLease = newLease();
        }

        private FleetLease newLease() {
            VirtualTimeScheduler scheduler = mScheduler;
            FleetLease lease =
                    new FleetLease(
                            mName,
                            this,
                            new DecisionLoop(scheduler, () -> scheduler.now(TimeUnit.NANOSECONDS)),
                            () -> java.time.Instant.ofEpochMilli(mMillis + mWallClockStepMillis),
                            new LeaseTimes(Duration.ofMillis(2500), 0.01, Duration.ofMillis(150)),
                            HANDOVER_DELAY,
                            () -> mName + mNonces.incrementAndGet(),
                            () -> List.copyOf(mHosts.keySet()),
                            () -> !mHolderReachable || mLease.isStandby(),
                            (event, fields) -> {});
            lease.start();
            return lease;
        }

        /** Starts a new process; the timers of the previous one never run again. */
        void restart() {
            mDead = false;
            mSuspended = false;
            mScheduler = VirtualTimeScheduler.create(true);
            mLease = newLease();
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
            mReads++;
            return respond(() -> find(name), false);
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> create(
                String collection, String name, ObjectNode spec) {
            return respond(
                    () ->
                            find(name).isRight()
                                    ? Either.left(PlatformFailure.CONFLICT)
                                    : put(name, spec),
                    true);
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> update(
                String collection, String name, long expectedVersion, ObjectNode spec) {
            return respond(
                    () ->
                            find(name).map(StoredObject::version).getOrElse(0L) == expectedVersion
                                    ? put(name, spec)
                                    : Either.left(PlatformFailure.CONFLICT),
                    true);
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> delete(
                String collection, String name, long expectedVersion) {
            return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
        }

        @Override
        public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
            return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
        }

        @Override
        public Flux<WatchEvent> watch(String collection, long fromVersion) {
            return Flux.never();
        }

        private <T> Mono<Either<PlatformFailure, T>> respond(
                java.util.function.Supplier<Either<PlatformFailure, T>> call, boolean write) {
            return Mono.delay(Duration.ofMillis(4), mScheduler)
                    .map(
                            tick -> {
                                if (mStoreUnavailable) {
                                    return Either.left(PlatformFailure.UNAVAILABLE);
                                }
                                Either<PlatformFailure, T> result = call.get();
                                return write && mResponsesLost
                                        ? Either.left(PlatformFailure.OUTCOME_UNKNOWN)
                                        : result;
                            });
        }
    }

    private final Map<String, TestHost> mHosts = new LinkedHashMap<>();
    private final Map<String, StoredObject> mObjects = new HashMap<>();
    private final List<VirtualTimeScheduler> mOtherSchedulers = new ArrayList<>();
    private final AtomicLong mNonces = new AtomicLong();
    private final List<Order> mOrders = new ArrayList<>();
    private final Map<String, StoredObject> mCopy = new HashMap<>();
    private long mCopiedRevision = 1;
    private long mEra = 1;
    private long mRevision = 1;
    private boolean mHolderReachable;
    private long mMillis;

    LeaseSimulation(int hosts) {
        for (int index = 0; index < hosts; index++) {
            mHosts.put("h" + index, new TestHost("h" + index));
        }
    }

    /** Sets whether all hosts can reach the lease holder. */
    void setHolderReachable(boolean reachable) {
        mHolderReachable = reachable;
    }

    /** Advances another scheduler with the time of the simulation. */
    void advanceWithTime(VirtualTimeScheduler scheduler) {
        mOtherSchedulers.add(scheduler);
    }

    /** Returns the total number of reads of the lease by all hosts. */
    int reads() {
        return mHosts.values().stream().mapToInt(host -> host.mReads).sum();
    }

    List<TestHost> hosts() {
        return List.copyOf(mHosts.values());
    }

    List<Order> orders() {
        return mOrders;
    }

    long millis() {
        return mMillis;
    }

    /** Returns the host that was last allowed to send an order. */
    TestHost holder() {
        return mHosts.get(mOrders.get(mOrders.size() - 1).host());
    }

    /** Advances the time of all hosts that are neither suspended nor dead. */
    void run(Duration time) {
        long end = mMillis + time.toMillis();
        while (mMillis < end) {
            mMillis += STEP.toMillis();
            mOtherSchedulers.forEach(scheduler -> scheduler.advanceTimeBy(STEP));
            for (TestHost host : mHosts.values()) {
                // A resumed host may check the lease before its timers run.
                if (!host.mSuspended && !host.mDead) {
                    record(host);
                    host.mScheduler.advanceTimeBy(STEP);
                    record(host);
                }
            }
        }
    }

    private void record(TestHost host) {
        if (host.mLease.mayOrder()) {
            mOrders.add(new Order(mMillis, host.mName, host.mLease.term()));
        }
    }

    /** Returns the shortest time between orders of two hosts, in milliseconds. */
    long shortestHandoverMillis() {
        long shortest = Long.MAX_VALUE;
        for (int index = 1; index < mOrders.size(); index++) {
            Order before = mOrders.get(index - 1);
            Order after = mOrders.get(index);
            if (!before.host().equals(after.host())) {
                shortest = Math.min(shortest, after.atMillis() - before.atMillis());
            }
        }
        return shortest;
    }

    /** Copies the store as it is now. */
    void copyStore() {
        mCopy.clear();
        mCopy.putAll(mObjects);
        mCopiedRevision = mRevision;
    }

    /** Replaces the store by its copy, whose revisions are given out again. */
    void restoreStore() {
        mObjects.clear();
        mObjects.putAll(mCopy);
        mRevision = mCopiedRevision;
        mEra++;
    }

    private Either<PlatformFailure, StoredObject> find(String name) {
        StoredObject object = mObjects.get(name);
        return object == null
                ? Either.left(PlatformFailure.NOT_FOUND)
                : Either.right(object.inEra(mEra));
    }

    private Either<PlatformFailure, StoredObject> put(String name, ObjectNode spec) {
        StoredObject object = new StoredObject("any", name, ++mRevision, spec);
        mObjects.put(name, object);
        return Either.right(object.inEra(mEra));
    }
}
