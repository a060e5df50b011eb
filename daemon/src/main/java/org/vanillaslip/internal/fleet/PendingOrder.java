package org.vanillaslip.internal.fleet;

import java.time.Duration;
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

    /** Reports lag, so an unanswered order stays pending until reports are newer than it. */
    private static final Duration UNANSWERED_TIMEOUT = Duration.ofMillis(700);

    /** An accepted order that no report shows as completed is dropped if it is overdue by more. */
    private static final Duration OVERDUE_AFTER = Duration.ofSeconds(20);

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

    /** Returns whether the order was sent to this process of the server. */
    boolean isOf(FleetMember member) {
        return member.registered().startedAtMillis() == startedAtMillis;
    }

    /** Returns whether the server, as far as known, has executed no other order after this one. */
    boolean isLastOf(FleetMember member) {
        return isOf(member) && member.modelState().orderCount() == expectedOrders + 1;
    }

    /** Returns whether reports that arrive now are newer than the order, if it is unanswered. */
    boolean isOlderThanReports(long nowNanos) {
        return nowNanos - sentNanos > UNANSWERED_TIMEOUT.toNanos();
    }

    /** Returns whether the order should have been completed long ago. */
    boolean isOverdue(long nowNanos) {
        return nowNanos - expectedDoneNanos > OVERDUE_AFTER.toNanos();
    }

    /** Returns whether a reported state shows that the order has been completed. */
    boolean isDoneIn(ServerModelState reported) {
        return reported.orderCount() > expectedOrders
                && !reported.executingOrder()
                && isShownBy(reported);
    }

    /** Returns whether the state contains the result of the order. */
    private boolean isShownBy(ServerModelState modelState) {
        Set<String> adapters = modelState.loaded().get(order.model());
        boolean loaded = adapters != null && order.adapter().map(adapters::contains).orElse(true);
        return loaded == (order.kind() == OrderKind.LOAD);
    }
}
