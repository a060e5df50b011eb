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

    /** 30 s: covers many calls of rare groups, and follows an overload of minutes. */
    private static final double HALF_LIFE_NANOS = 30e9;

    /** The counts are read for each pass, which would change them by next to nothing. */
    private static final long DECAY_STEP_NANOS = 200_000_000L;

    /** A group with less than this has no influence and is dropped. */
    private static final double NEGLIGIBLE = 0.02;

    /** Number of recorded calls between two removals, which visit all groups. */
    private static final int PRUNE_INTERVAL = 1000;

    private final Map<Group, Counts> mGroups = new HashMap<>();
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
            mGroups.computeIfAbsent(group, name -> new Counts()).add(served, nowNanos);
        }
        if (++mRecords % PRUNE_INTERVAL == 0) {
            mGroups.values().removeIf(counts -> counts.decay(nowNanos).sum() < NEGLIGIBLE);
        }
    }

    /** Starts to lift calls in the order of their rank. */
    Lifting lifting(long nowNanos) {
        Map<Group, Double> lacking = new HashMap<>();
        mGroups.forEach(
                (group, counts) -> {
                    double lacks = lacks(group, counts, nowNanos);
                    if (lacks > 0) {
                        lacking.put(group, lacks);
                    }
                });
        return new Lifting(lacking);
    }

    private double lacks(Group group, Counts counts, long nowNanos) {
        Counts reference = mAll;
        if (group.type() == GroupType.SIZE) {
            Group kind = new Group(GroupType.KIND, group.kind(), "");
            reference = mGroups.getOrDefault(kind, mAll);
        }
        if (counts.decay(nowNanos).mLost < 0.5) {
            return 0;
        }
        double floor = group.type() == GroupType.SIZE ? SIZE_FLOOR : FLOOR;
        return floor * reference.decay(nowNanos).ratio() * counts.sum() - counts.mServed;
    }

    private List<Group> groups(CallProfile call, String target) {
        List<Group> groups = new ArrayList<>(4);
        groups.add(new Group(GroupType.WORKSPACE, "", call.workspace()));
        groups.add(new Group(GroupType.KIND, call.kind(), ""));
        groups.add(new Group(GroupType.TARGET, "", target));
        mSizes.classOf(call)
                .ifPresent(size -> groups.add(new Group(GroupType.SIZE, call.kind(), size)));
        return groups;
    }

    /** What each group lacks, less the calls that were lifted in this pass. */
    final class Lifting {
        private final Map<Group, Double> mLacking;

        private Lifting(Map<Group, Double> lacking) {
            mLacking = lacking;
        }

        /** Returns whether one of the call's groups lacks it. */
        boolean tryLift(CallProfile call, String target) {
            if (mLacking.isEmpty()) {
                return false;
            }
            List<Group> groups = groups(call, target);
            boolean lifted = groups.stream().anyMatch(mLacking::containsKey);
            if (lifted) {
                groups.forEach(
                        group ->
                                mLacking.computeIfPresent(
                                        group,
                                        (name, lacks) ->
                                                lacks > 1 ? Double.valueOf(lacks - 1) : null));
            }
            return lifted;
        }
    }

    private enum GroupType {
        WORKSPACE,
        KIND,
        TARGET,
        SIZE
    }

    /** Calls that are counted together: those of a workspace, kind, target or size of a kind. */
    private record Group(GroupType type, String kind, String name) {}

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
            if (nowNanos - mUpdatedAt >= DECAY_STEP_NANOS) {
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
