package org.vanillaslip.internal.fleet;

import java.util.Set;

/**
 * An order whose completion has not been reported.
 *
 * @param startedAtMillis start time of the server process to which it was sent
 * @param stateBefore models of the server when the order was sent
 * @param expectedOrders number of orders that the server had accepted before
 * @param sentNanos time at which it was sent
 * @param expectedDoneNanos time at which it is expected to be completed
 * @param accepted whether the server has accepted it; otherwise the outcome is unknown
 */
record PendingOrder(
        PlannedOrder order,
        long startedAtMillis,
        ServerModelState stateBefore,
        long expectedOrders,
        long sentNanos,
        long expectedDoneNanos,
        boolean accepted) {

    PendingOrder asAccepted(long nowNanos) {
        long expectedNanos = order.expectedDuration().toNanos();
        return new PendingOrder(
                order,
                startedAtMillis,
                stateBefore,
                expectedOrders,
                sentNanos,
                nowNanos + expectedNanos,
                true);
    }

    /** Servers accept orders only when idle, so a state with an executing order is outdated. */
    ServerModelState stateAtAccept(ServerModelState known) {
        boolean outdated = known.executingOrder() && known.orderCount() == expectedOrders;
        return outdated ? stateBefore : known;
    }

    /** Returns whether the state contains the result of the order. */
    boolean isShownBy(ServerModelState modelState) {
        Set<String> adapters = modelState.loaded().get(order.model());
        boolean loaded = adapters != null && order.adapter().map(adapters::contains).orElse(true);
        return loaded == (order.kind() == OrderKind.LOAD);
    }
}
