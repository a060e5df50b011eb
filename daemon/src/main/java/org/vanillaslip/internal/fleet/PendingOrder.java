package org.vanillaslip.internal.fleet;

/**
 * An order whose end was not reported yet.
 *
 * @param bornMillis start of the server's life in which it was sent
 * @param stock what the server held when it was sent
 * @param expectedOrders orders that the server had accepted before
 * @param sentNanos when it was sent
 * @param doneNanos when it is expected to be done
 * @param accepted whether the server has accepted it; otherwise its outcome is unknown
 */
record PendingOrder(
        PlannedOrder order,
        long bornMillis,
        ServerModelState stock,
        long expectedOrders,
        long sentNanos,
        long doneNanos,
        boolean accepted) {

    PendingOrder asAccepted(long nowNanos) {
        long takes = order.expectedDuration().toNanos();
        return new PendingOrder(
                order, bornMillis, stock, expectedOrders, sentNanos, nowNanos + takes, true);
    }
}
