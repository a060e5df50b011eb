package org.vanillaslip.internal.placement;

/**
 * A void order sent for a withdrawn offline load. It uses the load's decision number, so that a
 * load order that is still in transit is not executed in the same incarnation.
 *
 * @param acceptedNanos when this host received the server's acceptance; {@code Long.MAX_VALUE}
 *     until then
 */
public record VoidOrder(String incarnation, long sentNanos, long acceptedNanos) {

    static VoidOrder sent(Order order, long nowNanos) {
        return new VoidOrder(order.incarnation(), nowNanos, Long.MAX_VALUE);
    }

    VoidOrder withAcceptance(long nowNanos) {
        return new VoidOrder(incarnation, sentNanos, Math.min(acceptedNanos, nowNanos));
    }

    /**
     * Returns whether the report is from the same incarnation and was requested after the void
     * order had been accepted, so that it shows all effects of orders with this decision number.
     */
    boolean acceptedBefore(ServerReport report) {
        return report.requestedNanos() >= acceptedNanos && incarnation.equals(report.incarnation());
    }
}
