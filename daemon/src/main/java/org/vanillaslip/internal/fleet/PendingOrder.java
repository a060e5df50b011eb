package org.vanillaslip.internal.fleet;

/**
 * An order whose end was not reported yet.
 *
 * @param startedAtMillis start of the server's life in which it was sent
 * @param stateBefore what the server held when it was sent
 * @param expectedOrders orders that the server had accepted before
 * @param sentNanos when it was sent
 * @param expectedDoneNanos when it is expected to be done
 * @param accepted whether the server has accepted it; otherwise its outcome is unknown
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
