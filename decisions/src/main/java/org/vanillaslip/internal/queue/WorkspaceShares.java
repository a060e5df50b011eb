package org.vanillaslip.internal.queue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Start-time fair queueing with one flow for each workspace and priority. */
final class WorkspaceShares {

    /** Bounds the charge, so that neither tiny nor huge calls decide the share alone. */
    private static final double MIN_CHARGE = 0.5;

    private static final double MAX_CHARGE = 4;

    /** Weight of the newest call in the mean work, which covers about 30 calls. */
    private static final double NEWEST_WEIGHT = 0.03;

    /** Bounds what one call, whose size its caller declares, changes in the mean: by half of it. */
    private static final double MAX_WORK_RATIO = 16;

    private final Map<Flow, Double> mStartTags = new HashMap<>();
    private final Map<Integer, Double> mVirtualTimes = new HashMap<>();
    private final Set<Flow> mBusy = new HashSet<>();
    private double mMeanWork;

    /** A workspace's calls of one priority. */
    record Flow(String workspace, int priority) {
        static Flow of(RankedCall call) {
            return new Flow(call.profile().workspace(), call.priority());
        }
    }

    /** Applies which flows have waiting calls; a flow that was idle has saved no share. */
    void setBusy(Set<Flow> busy) {
        for (Flow flow : busy) {
            if (!mBusy.contains(flow)) {
                mStartTags.merge(flow, virtualTime(flow.priority()), Math::max);
            }
        }
        mBusy.clear();
        mBusy.addAll(busy);
        mStartTags
                .entrySet()
                .removeIf(
                        entry ->
                                !mBusy.contains(entry.getKey())
                                        && entry.getValue()
                                                <= virtualTime(entry.getKey().priority()));
    }

    /** Returns how much more of its share the flow has used than the flow served last. */
    double startTag(Flow flow) {
        double virtualTime = virtualTime(flow.priority());
        return mStartTags.getOrDefault(flow, virtualTime) - virtualTime;
    }

    /** Returns what the workspace is charged for the call. */
    double charge(RankedCall call) {
        long work = call.profile().work();
        if (work <= 0 || mMeanWork <= 0) {
            return 1;
        }
        return Math.max(MIN_CHARGE, Math.min(MAX_CHARGE, work / mMeanWork));
    }

    /** Charges the workspace for a call that gets a server. */
    void recordServed(RankedCall call) {
        Flow flow = Flow.of(call);
        double startTag = mStartTags.getOrDefault(flow, virtualTime(call.priority()));
        mVirtualTimes.merge(call.priority(), startTag, Math::max);
        mStartTags.put(flow, startTag + charge(call));
        long work = call.profile().work();
        if (work > 0) {
            double bounded = mMeanWork == 0 ? work : Math.min(work, MAX_WORK_RATIO * mMeanWork);
            mMeanWork += (mMeanWork == 0 ? 1 : NEWEST_WEIGHT) * (bounded - mMeanWork);
        }
    }

    private double virtualTime(int priority) {
        return mVirtualTimes.getOrDefault(priority, 0.0);
    }
}
