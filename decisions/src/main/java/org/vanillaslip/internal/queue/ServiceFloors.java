package org.vanillaslip.internal.queue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps workspaces, kinds, targets and sizes from being served far more rarely than all calls. A
 * group that has lost a call and is below its floor may put forward as many calls as it lacks.
 */
public final class ServiceFloors {

    /**
     * Each workspace and kind has to be served a quarter as often as all; the difference covers the
     * lag of the counts.
     */
    private static final double FLOOR = 0.35;

    /** Each size has to be served half as often as its kind. */
    private static final double SIZE_FLOOR = 0.65;

    private static final double HALF_LIFE_NANOS = 30e9;

    /** A group with less than this has no influence and is dropped. */
    private static final double NEGLIGIBLE = 0.02;

    private static final int PRUNE_INTERVAL = 1000;

    private final Map<String, Counts> mGroups = new HashMap<>();
    private final Counts mAll = new Counts();
    private final SizeClasses mSizes = new SizeClasses();
    private int mRecords;

    /** Records a call that got a server, whether or not it had to wait. */
    public void recordServed(CallProfile call, String target, long nowNanos) {
        record(call, target, nowNanos, true);
    }

    /** Records a call that was refused or whose caller left before it got a server. */
    public void recordLost(CallProfile call, String target, long nowNanos) {
        record(call, target, nowNanos, false);
    }

    private void record(CallProfile call, String target, long nowNanos, boolean served) {
        mSizes.recordCall(call);
        mAll.add(served, nowNanos);
        for (Group group : groups(call, target)) {
            mGroups.computeIfAbsent(group.mName, name -> new Counts()).add(served, nowNanos);
        }
        if (++mRecords % PRUNE_INTERVAL == 0) {
            mGroups.values().removeIf(counts -> counts.decay(nowNanos).sum() < NEGLIGIBLE);
        }
    }

    /** Starts to lift calls in the order of their rank. */
    Lifting lifting(long nowNanos) {
        return new Lifting(nowNanos);
    }

    private List<Group> groups(CallProfile call, String target) {
        List<Group> groups = new ArrayList<>(4);
        String kind = "kind " + call.kind();
        groups.add(new Group("workspace " + call.workspace(), "", FLOOR));
        groups.add(new Group(kind, "", FLOOR));
        groups.add(new Group("target " + target, "", FLOOR));
        mSizes.classOf(call)
                .ifPresent(size -> groups.add(new Group(size + " " + kind, kind, SIZE_FLOOR)));
        return groups;
    }

    /** What each group lacks, less the calls that were lifted in this pass. */
    final class Lifting {
        private final Map<String, Double> mLacking = new HashMap<>();
        private final long mNowNanos;

        private Lifting(long nowNanos) {
            mNowNanos = nowNanos;
        }

        /** Returns whether one of the call's groups lacks it. */
        boolean tryLift(CallProfile call, String target) {
            List<Group> groups = groups(call, target);
            boolean lifted = false;
            for (Group group : groups) {
                lifted |=
                        mLacking.computeIfAbsent(group.mName, name -> lacking(group, mNowNanos))
                                > 0;
            }
            if (lifted) {
                groups.forEach(group -> mLacking.merge(group.mName, -1.0, Double::sum));
            }
            return lifted;
        }
    }

    private double lacking(Group group, long nowNanos) {
        Counts counts = mGroups.get(group.mName);
        Counts reference = group.mReference.isEmpty() ? mAll : mGroups.get(group.mReference);
        if (counts == null || reference == null || counts.decay(nowNanos).mLost < 0.5) {
            return 0;
        }
        double ratio = reference.decay(nowNanos).ratio();
        return group.mFloor * ratio * counts.sum() - counts.mServed;
    }

    /**
     * Calls that are counted together.
     *
     * @param mReference group with whose ratio this one is compared; empty for all calls
     */
    private record Group(String mName, String mReference, double mFloor) {}

    /** Recent calls, with older ones counting less. */
    private static final class Counts {
        private double mServed;
        private double mLost;
        private long mUpdatedAt;

        void add(boolean served, long nowNanos) {
            decay(nowNanos);
            if (served) {
                mServed++;
            } else {
                mLost++;
            }
        }

        Counts decay(long nowNanos) {
            if (nowNanos != mUpdatedAt) {
                double factor = Math.pow(0.5, (nowNanos - mUpdatedAt) / HALF_LIFE_NANOS);
                mServed *= factor;
                mLost *= factor;
                mUpdatedAt = nowNanos;
            }
            return this;
        }

        double sum() {
            return mServed + mLost;
        }

        double ratio() {
            return sum() < NEGLIGIBLE ? 1 : mServed / sum();
        }
    }
}
