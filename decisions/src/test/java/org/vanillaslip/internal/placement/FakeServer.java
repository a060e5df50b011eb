package org.vanillaslip.internal.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** A model engine that executes every order that it need not refuse, regardless of its memory. */
final class FakeServer {

    final String mName;
    final boolean mChecksFencing;
    private final List<ReportedModel> mModels = new ArrayList<>();
    private final Set<Long> mExecutedDecisions = new HashSet<>();
    private final Set<Long> mRefusedDecisions = new TreeSet<>();
    private long mHighestTerm;
    private int mStartCount = 1;

    FakeServer(String name, boolean fencing) {
        mName = name;
        mChecksFencing = fencing;
    }

    void restart() {
        mStartCount++;
        mModels.clear();
        mExecutedDecisions.clear();
        mRefusedDecisions.clear();
        mHighestTerm = 0;
    }

    /** Returns whether the order is accepted; each decision is executed at most once. */
    boolean execute(Order order) {
        if (!order.incarnation().equals(incarnation())) {
            return false;
        } else if (mChecksFencing && order.term() < mHighestTerm) {
            if (!mExecutedDecisions.contains(order.decision())) {
                mRefusedDecisions.add(order.decision());
            }
            return false;
        }
        mHighestTerm = Math.max(mHighestTerm, order.term());
        if (mRefusedDecisions.contains(order.decision())) {
            return false;
        } else if (order.action() == OrderAction.FENCE
                || !mExecutedDecisions.add(order.decision())) {
            return true;
        }
        mModels.removeIf(r -> matches(r, order));
        if (order.action() == OrderAction.LOAD) {
            mModels.add(
                    new ReportedModel(
                            order.model(),
                            order.version(),
                            order.adapter(),
                            true,
                            order.decision()));
        }
        return true;
    }

    private static boolean matches(ReportedModel resident, Order order) {
        return resident.model().equals(order.model())
                && resident.version().equals(order.version())
                && resident.adapter().equals(order.adapter());
    }

    ServerReport report(long requestedNanos) {
        return new ServerReport(
                mName,
                incarnation(),
                mHighestTerm,
                usedBytes(),
                mModels,
                Map.of(),
                mRefusedDecisions,
                requestedNanos);
    }

    List<ReportedModel> models() {
        return mModels;
    }

    long usedBytes() {
        return mModels.stream().mapToLong(r -> ShardFixture.bytes(r.model())).sum();
    }

    String incarnation() {
        return mName + "#" + mStartCount;
    }
}
