package org.vanillaslip.internal.fleet;

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
}
