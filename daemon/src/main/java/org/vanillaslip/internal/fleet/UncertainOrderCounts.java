package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.vanillaslip.internal.serving.EngineProfile;

/**
 * Finds the servers whose known order count may be one too high. A server answers the unload of an
 * adapter with 200 whether it has just unloaded the adapter, which it counts, or lacked it, which
 * it does not count. An order that expects a count ahead of the server's could be executed among
 * the orders of the next holder, so the next order expects the lower count first. Only an adapter
 * that an order of this host has loaded is certain to be there.
 */
final class UncertainOrderCounts {

    private record Adapter(String model, String name) {}

    private final Map<String, Set<Adapter>> mLoaded = new HashMap<>();
    private final Map<String, Adapter> mUnloading = new HashMap<>();

    /** The higher one of the two possible counts, by start of the server. */
    private final Map<String, Long> mHigherCounts = new HashMap<>();

    /** Forgets all servers, because this host has acquired or lost the lease. */
    void clear() {
        mLoaded.clear();
        mUnloading.clear();
        mHigherCounts.clear();
    }

    /** Forgets the servers whose start is no longer listed. */
    void retainStarts(Set<String> startIds) {
        mLoaded.keySet().retainAll(startIds);
        mUnloading.keySet().retainAll(startIds);
        mHigherCounts.keySet().retainAll(startIds);
    }

    /** Returns whether the server may have counted one order less than is known. */
    boolean isUncertain(FleetMember member) {
        Long higher = mHigherCounts.get(member.startId());
        return higher != null && higher == member.modelState().orderCount();
    }

    /** Returns the lowest number of orders that the server may have accepted. */
    long lowestCount(FleetMember member) {
        return member.modelState().orderCount() - (isUncertain(member) ? 1 : 0);
    }

    /** Returns what unconfirmed orders may load after the server accepts the next order. */
    UnconfirmedLoads possibleLoads(
            UnconfirmedOrders orders,
            FleetMember member,
            Duration age,
            EngineProfile profile,
            long nowNanos) {
        long known = member.modelState().orderCount();
        UnconfirmedLoads loads = UnconfirmedLoads.NONE;
        for (long count = lowestCount(member); count <= known; count++) {
            loads =
                    loads.max(
                            orders.possibleLoads(
                                    member.instance(),
                                    count + 1,
                                    age,
                                    member.firstStart(),
                                    profile,
                                    nowNanos));
        }
        return loads;
    }

    /** Records that the order is about to be sent. */
    void recordSent(FleetMember member, PlannedOrder order) {
        mUnloading.remove(member.startId());
        Set<Adapter> loaded = mLoaded.get(member.startId());
        if (loaded == null || order.kind() == OrderKind.LOAD) {
            return;
        }
        if (order.adapter().isEmpty()) {
            loaded.removeIf(adapter -> adapter.model().equals(order.model()));
            return;
        }
        // An unanswered unload may be executed later, so the adapter is no longer certain.
        Adapter adapter = new Adapter(order.model(), order.adapter().get());
        if (loaded.remove(adapter)) {
            mUnloading.put(member.startId(), adapter);
        }
    }

    /** Records that the server has accepted and counted an order that expected this count. */
    void recordAccepted(FleetMember member, PlannedOrder order) {
        mHigherCounts.remove(member.startId());
        if (order.kind() == OrderKind.LOAD) {
            order.adapter()
                    .ifPresent(
                            name ->
                                    mLoaded.computeIfAbsent(
                                                    member.startId(), start -> new HashSet<>())
                                            .add(new Adapter(order.model(), name)));
        }
    }

    /** Records that the server answered with 200 to an unload of an adapter. */
    void recordUnloaded(FleetMember member, long expectedOrders) {
        if (mUnloading.remove(member.startId()) == null) {
            mHigherCounts.put(member.startId(), expectedOrders + 1);
        } else {
            mHigherCounts.remove(member.startId());
        }
    }

    /** Records that the known count is the server's. */
    void recordCertain(FleetMember member) {
        mHigherCounts.remove(member.startId());
    }

    /** Records that the server has executed an order of another host or an unanswered one. */
    void recordOtherOrder(FleetMember member) {
        mLoaded.remove(member.startId());
    }
}
