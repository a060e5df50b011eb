package org.vanillaslip.internal.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** A model engine that executes every order it must not refuse, whatever memory it has. */
final class FakeServer {

    final String mName;
    final boolean mFencing;
    private final List<ReportedModel> mResidents = new ArrayList<>();
    private final Set<Long> mExecuted = new HashSet<>();
    private final Set<Long> mRefused = new TreeSet<>();
    private long mHighestTerm;
    private int mStarts = 1;

    FakeServer(String name, boolean fencing) {
        mName = name;
        mFencing = fencing;
    }

    void restart() {
        mStarts++;
        mResidents.clear();
        mExecuted.clear();
        mRefused.clear();
        mHighestTerm = 0;
    }

    /** Returns whether the order is accepted; each decision is executed at most once. */
    boolean execute(Order order) {
        if (!order.incarnation().equals(incarnation())) {
            return false;
        } else if (mFencing && order.term() < mHighestTerm) {
            if (!mExecuted.contains(order.decision())) {
                mRefused.add(order.decision());
            }
            return false;
        }
        mHighestTerm = Math.max(mHighestTerm, order.term());
        if (mRefused.contains(order.decision())) {
            return false;
        } else if (order.action() == OrderAction.FENCE || !mExecuted.add(order.decision())) {
            return true;
        }
        mResidents.removeIf(r -> matches(r, order));
        if (order.action() == OrderAction.LOAD) {
            mResidents.add(
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

    ServerReport report(long askedNanos) {
        return new ServerReport(
                mName,
                incarnation(),
                mHighestTerm,
                usedBytes(),
                mResidents,
                Map.of(),
                mRefused,
                askedNanos);
    }

    List<ReportedModel> residents() {
        return mResidents;
    }

    long usedBytes() {
        return mResidents.stream().mapToLong(r -> ShardFixture.bytes(r.model())).sum();
    }

    String incarnation() {
        return mName + "#" + mStarts;
    }
}
