package org.vanillaslip.internal.queue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Ranks the calls that wait for the same servers: begun answers, calls of groups that were served
 * too rarely, then by level (priority and waiting time), share of the workspace, time left and
 * work.
 */
public final class CallRanking {

    private final ServiceFloors mFloors;
    private final WorkspaceShares mShares = new WorkspaceShares();

    /** Creates a ranking without recorded calls; the floors may be those of several rankings. */
    public CallRanking(ServiceFloors floors) {
        mFloors = floors;
    }

    /** Charges the workspace of a call that waited and gets a server. */
    public void recordServed(RankedCall call) {
        mShares.recordServed(call);
    }

    /**
     * Returns the calls in the order in which they are served.
     *
     * @param servable whether a server exists that can serve the call; only such calls are lifted
     */
    public <T> List<RankPosition<T>> order(
            Collection<T> calls,
            Function<T, RankedCall> criteria,
            Predicate<T> servable,
            long nowNanos) {
        int topLevel =
                calls.stream().mapToInt(call -> criteria.apply(call).priority()).min().orElse(0);
        Map<WorkspaceShares.Flow, List<Entry<T>>> flows = new HashMap<>();
        List<Entry<T>> entries = new ArrayList<>(calls.size());
        for (T call : calls) {
            Entry<T> entry = new Entry<>(call, criteria.apply(call), topLevel, nowNanos);
            entries.add(entry);
            flows.computeIfAbsent(
                            WorkspaceShares.Flow.of(entry.mCriteria), flow -> new ArrayList<>())
                    .add(entry);
        }
        mShares.setBusy(flows.keySet());
        flows.forEach(this::setStartTags);
        entries.sort(rank());
        return lift(entries, servable, nowNanos);
    }

    /** Each further call of a workspace starts after those before it in the workspace's share. */
    private <T> void setStartTags(WorkspaceShares.Flow flow, List<Entry<T>> entries) {
        entries.sort(rank());
        double startTag = mShares.startTag(flow);
        for (Entry<T> entry : entries) {
            entry.mStartTag = startTag;
            startTag += mShares.charge(entry.mCriteria);
        }
    }

    private <T> List<RankPosition<T>> lift(
            List<Entry<T>> entries, Predicate<T> servable, long nowNanos) {
        ServiceFloors.Lifting lifting = mFloors.lifting(nowNanos);
        // Calls that can meet their objective are lifted first: late ones are worth less.
        for (boolean late : new boolean[] {false, true}) {
            for (Entry<T> entry : entries) {
                RankedCall call = entry.mCriteria;
                entry.mLifted |=
                        entry.mLate == late
                                && !call.answerBegun()
                                && servable.test(entry.mCall)
                                && lifting.tryLift(call.profile(), call.target());
            }
        }
        List<RankPosition<T>> begun = new ArrayList<>();
        List<RankPosition<T>> lifted = new ArrayList<>();
        List<RankPosition<T>> others = new ArrayList<>(entries.size());
        for (Entry<T> entry : entries) {
            RankPosition<T> position = new RankPosition<>(entry.mCall, entry.mLevel, entry.mLifted);
            if (entry.mCriteria.answerBegun()) {
                begun.add(position);
            } else if (entry.mLifted) {
                lifted.add(position);
            } else {
                others.add(position);
            }
        }
        List<RankPosition<T>> order = new ArrayList<>(entries.size());
        order.addAll(begun);
        order.addAll(lifted);
        order.addAll(others);
        return order;
    }

    private static <T> Comparator<Entry<T>> rank() {
        return Comparator.<Entry<T>>comparingInt(entry -> entry.mCriteria.answerBegun() ? 0 : 1)
                .thenComparingInt(entry -> entry.mLevel)
                .thenComparingDouble(entry -> entry.mStartTag)
                .thenComparingInt(entry -> entry.mCriteria.returned() ? 0 : 1)
                .thenComparingInt(entry -> entry.mLate ? 1 : 0)
                .thenComparingLong(entry -> entry.mUrgencyNanos)
                .thenComparingLong(entry -> entry.mCriteria.profile().work())
                .thenComparingLong(entry -> entry.mCriteria.enqueuedNanos());
    }

    /** A call with what its rank depends on at one moment. Times are compared from that moment. */
    private static final class Entry<T> {
        private final T mCall;
        private final RankedCall mCriteria;
        private final int mLevel;
        private final boolean mLate;
        private final long mUrgencyNanos;
        private double mStartTag;
        private boolean mLifted;

        Entry(T call, RankedCall criteria, int topLevel, long nowNanos) {
            mCall = call;
            mCriteria = criteria;
            boolean risen = !criteria.answerBegun() && criteria.hasRisen(nowNanos);
            mLevel = Math.max(topLevel, criteria.priority() - (risen ? 1 : 0));
            // A call that is late in any case must not make others late.
            mLate = criteria.answerBegun() || !criteria.meetsObjective(nowNanos);
            long time = mLate ? criteria.deadlineNanos() : criteria.latestSendNanos();
            mUrgencyNanos = time - nowNanos;
        }
    }
}
