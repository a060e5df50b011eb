package org.vanillaslip.internal.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/** The faults of a simulation, at once or at a later time. */
final class ShardFaults {

    private static final long SECOND = 1_000_000_000L;

    final FakeStore mStore;
    final List<FakeServer> mServers;
    private final ShardSimulation mSimulation;
    private final Set<String> mPartitioned = new HashSet<>();
    private final TreeMap<Long, Runnable> mTimers = new TreeMap<>();
    private long mHealNanos = Long.MAX_VALUE;
    int mLateOrders;
    int mOfflineDelay;
    long mColdUntil;

    ShardFaults(ShardSimulation simulation) {
        mSimulation = simulation;
        mStore = simulation.mStore;
        mServers = simulation.mServers;
    }

    /** Runs what is due and returns whether everything has just become reachable again. */
    boolean healed() {
        long now = mSimulation.nowNanos();
        while (!mTimers.isEmpty() && mTimers.firstKey() <= now) {
            mTimers.pollFirstEntry().getValue().run();
        }
        if (now < mHealNanos) {
            return false;
        }
        mHealNanos = Long.MAX_VALUE;
        mStore.heal();
        mPartitioned.clear();
        return true;
    }

    void freeze(FakeHost host, int seconds) {
        host.mFrozenUntil = mSimulation.nowNanos() + seconds * SECOND;
    }

    void healAfter(int seconds) {
        mHealNanos = mSimulation.nowNanos() + seconds * SECOND;
    }

    void delayNextOrders(int count) {
        mLateOrders = count;
        healAfter(25);
    }

    /** Cuts a host off from the platform and from its peers, but not from the servers. */
    void partition(FakeHost host) {
        mStore.cutOff(host.mName);
        mPartitioned.add(host.mName);
        healAfter(50);
    }

    FakeHost other(FakeHost host) {
        return mSimulation.mHosts.get(1 - mSimulation.mHosts.indexOf(host));
    }

    void partitionAfter(FakeHost host, int seconds) {
        after(seconds, () -> partition(host));
    }

    /** Restarts a host and lets the answer to its first read arrive late. */
    void restartWithLateRead(FakeHost host, int seconds) {
        host.restart();
        host.mReadDelay = seconds;
    }

    void coldAgainAfter(int seconds) {
        after(
                seconds,
                () -> {
                    mServers.forEach(FakeServer::restart);
                    mColdUntil = mSimulation.nowNanos() + 2 * SECOND;
                });
    }

    void stop(FakeHost host) {
        host.deliver(host.mLife, c -> host.machine().onStop(host.mState, c, host.now()));
        after(3, host::restart);
        // Callers that ask all the time show a placement that is forgotten for a moment.
        for (double seconds = 0.5; seconds < 8; seconds += 0.25) {
            after(seconds, () -> List.of("a", "d").forEach(mSimulation::want));
        }
    }

    void restartAfter(int seconds) {
        after(seconds, () -> mSimulation.mHosts.forEach(FakeHost::restart));
    }

    void reclaimAfter(FakeHost host, int seconds) {
        after(seconds, () -> host.mDead = true);
    }

    void freezeAfter(FakeHost host, int seconds) {
        after(seconds, () -> freeze(host, 12));
    }

    void outageAfter(int seconds) {
        after(
                seconds,
                () -> {
                    mStore.mDown = true;
                    healAfter(25);
                });
    }

    /** Starts an outage; orders of the offline placement set arrive long after its end. */
    void outageWithLateOrders() {
        mStore.mDown = true;
        healAfter(25);
        mOfflineDelay = 30;
        after(25, () -> mOfflineDelay = 0);
    }

    void after(double seconds, Runnable event) {
        mTimers.put(mSimulation.nowNanos() + (long) (seconds * SECOND) + mTimers.size(), event);
    }

    boolean connected(FakeHost one, FakeHost other) {
        return one == other
                || !mPartitioned.contains(one.mName) && !mPartitioned.contains(other.mName);
    }
}
