package org.vanillaslip.internal.fleet;

/**
 * An order whose end was not reported yet.
 *
 * @param expectedOrders orders that the server had accepted before
 * @param sentNanos when it was sent
 * @param doneNanos when it is expected to be done
 * @param accepted whether the server has accepted it; otherwise its outcome is unknown
 */
record PendingOrder(
        PlannedOrder order, long expectedOrders, long sentNanos, long doneNanos, boolean accepted) {

    PendingOrder asAccepted(long nowNanos) {
        long takes = order.takes().toNanos();
        return new PendingOrder(order, expectedOrders, sentNanos, nowNanos + takes, true);
    }
}
