package org.vanillaslip.internal.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/** Injects the faults of a simulation, immediately or at a later time. */
final class ShardFaults {

    private static final long SECOND = 1_000_000_000L;

    final FakeStore mStore;
    final List<FakeServer> mServers;
    private final ShardSimulation mSimulation;
    private final Set<String> mPartitioned = new HashSet<>();
    private final TreeMap<Long, Runnable> mTimers = new TreeMap<>();
    private long mReconnectNanos = Long.MAX_VALUE;
    int mOrdersToDelay;
    int mOfflineOrderDelaySeconds;
    long mServersRestartedUntilNanos;

    ShardFaults(ShardSimulation simulation) {
        mSimulation = simulation;
        mStore = simulation.mStore;
        mServers = simulation.mServers;
    }

    /** Runs the due faults and returns whether all connections were restored in this call. */
    boolean runDueFaults() {
        long now = mSimulation.nowNanos();
        while (!mTimers.isEmpty() && mTimers.firstKey() <= now) {
            mTimers.pollFirstEntry().getValue().run();
        }
        if (now < mReconnectNanos) {
            return false;
        }
        mReconnectNanos = Long.MAX_VALUE;
        mStore.reconnect();
        mPartitioned.clear();
        return true;
    }

    void freeze(FakeHost host, int seconds) {
        host.mFrozenUntilNanos = mSimulation.nowNanos() + seconds * SECOND;
    }

    void reconnectAfter(int seconds) {
        mReconnectNanos = mSimulation.nowNanos() + seconds * SECOND;
    }

    void delayNextOrders(int count) {
        mOrdersToDelay = count;
        reconnectAfter(25);
    }

    /** Disconnects a host from the platform and from its peers, but not from the servers. */
    void partition(FakeHost host) {
        mStore.disconnect(host.mName);
        mPartitioned.add(host.mName);
        reconnectAfter(50);
    }

    FakeHost otherHost(FakeHost host) {
        return mSimulation.mHosts.get(1 - mSimulation.mHosts.indexOf(host));
    }

    void partitionAfter(FakeHost host, int seconds) {
        schedule(seconds, () -> partition(host));
    }

    /** Restarts a host and delays the answer to its first read. */
    void restartWithLateRead(FakeHost host, int seconds) {
        host.restart();
        host.mReadDelaySeconds = seconds;
    }

    void restartServersAfter(int seconds) {
        schedule(
                seconds,
                () -> {
                    mServers.forEach(FakeServer::restart);
                    mServersRestartedUntilNanos = mSimulation.nowNanos() + 2 * SECOND;
                });
    }

    void stopAsPlanned(FakeHost host) {
        host.deliver(
                host.mRestartCount,
                context -> host.machine().onStop(host.mState, context, host.now()));
        schedule(3, host::restart);
        // Frequent requests reveal a placement that is missing from the record for a short time.
        for (double seconds = 0.5; seconds < 8; seconds += 0.25) {
            schedule(seconds, () -> List.of("a", "d").forEach(mSimulation::requestModel));
        }
    }

    void restartHostsAfter(int seconds) {
        schedule(seconds, () -> mSimulation.mHosts.forEach(FakeHost::restart));
    }

    void reclaimAfter(FakeHost host, int seconds) {
        schedule(seconds, () -> host.mReclaimed = true);
    }

    void freezeAfter(FakeHost host, int seconds) {
        schedule(seconds, () -> freeze(host, 12));
    }

    void outageAfter(int seconds) {
        schedule(
                seconds,
                () -> {
                    mStore.mUnavailable = true;
                    reconnectAfter(25);
                });
    }

    /** Starts an outage; orders of the offline placement set arrive long after its end. */
    void outageWithLateOrders() {
        mStore.mUnavailable = true;
        reconnectAfter(25);
        mOfflineOrderDelaySeconds = 30;
        schedule(25, () -> mOfflineOrderDelaySeconds = 0);
    }

    void schedule(double seconds, Runnable event) {
        mTimers.put(mSimulation.nowNanos() + (long) (seconds * SECOND) + mTimers.size(), event);
    }

    boolean areConnected(FakeHost one, FakeHost other) {
        return one == other
                || !mPartitioned.contains(one.mName) && !mPartitioned.contains(other.mName);
    }
}
