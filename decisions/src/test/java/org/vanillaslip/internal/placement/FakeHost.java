package org.vanillaslip.internal.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.vanillaslip.Configuration;

/**
 * A host that runs the state machine. It can be restarted, reclaimed, or frozen before it executes
 * pending actions.
 */
final class FakeHost {

    final String mName;
    final int mRank;
    final Set<String> mPolledServers = new HashSet<>();
    private final double mClockRate;
    private final ShardStateMachine mMachine;
    private final List<Runnable> mDeferred = new ArrayList<>();
    private final ShardSimulation mSimulation;
    ShardState mState;
    Configuration mConfiguration = ShardFixture.configuration(1, false, false);
    int mRestartCount;
    boolean mReclaimed;
    int mReadDelaySeconds;
    long mFrozenUntilNanos;

    FakeHost(String name, int rank, double clockRate, ShardSimulation simulation, long seed) {
        mName = name;
        mRank = rank;
        mClockRate = clockRate;
        mSimulation = simulation;
        mMachine = new ShardStateMachine(new Random(seed));
        mState = ShardState.initial(now());
    }

    long now() {
        return (long) (mSimulation.nowNanos() * mClockRate);
    }

    ShardStateMachine machine() {
        return mMachine;
    }

    boolean holdsLease() {
        return !mReclaimed && mState.lease().holding();
    }

    void restart() {
        mRestartCount++;
        mDeferred.clear();
        mPolledServers.clear();
        mState = ShardState.initial(now());
    }

    /**
     * Delivers an event unless the host has restarted since; while the host is frozen, the event is
     * deferred.
     */
    void deliver(int restartCount, Function<ShardContext, ShardStep> event) {
        if (mReclaimed || restartCount != mRestartCount) {
            return;
        } else if (isFrozen()) {
            mDeferred.add(() -> deliver(restartCount, event));
            return;
        }
        ShardStep step =
                event.apply(
                        ShardFixture.context(
                                mName, mRank, mSimulation.runningHosts(), mConfiguration));
        mState = step.state();
        for (ShardAction action : step.actions()) {
            mSimulation.beforeAction(this);
            if (isFrozen()) {
                mDeferred.add(() -> mSimulation.execute(this, action));
            } else {
                mSimulation.execute(this, action);
            }
        }
    }

    boolean isFrozen() {
        return mSimulation.nowNanos() < mFrozenUntilNanos;
    }

    void resumeIfDue() {
        if (!isFrozen() && !mDeferred.isEmpty()) {
            List<Runnable> deferred = new ArrayList<>(mDeferred);
            mDeferred.clear();
            deferred.forEach(Runnable::run);
        }
    }
}
