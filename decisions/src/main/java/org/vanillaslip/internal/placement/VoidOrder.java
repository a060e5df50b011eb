package org.vanillaslip.internal.placement;

/**
 * The order that uses up the number of a withdrawn offline load, so that a load order of that
 * number that is still under way is not executed in the same incarnation.
 *
 * @param acceptedNanos when the server's acceptance became known; {@code Long.MAX_VALUE} before
 */
public record VoidOrder(String incarnation, long sentNanos, long acceptedNanos) {

    static VoidOrder sent(Order order, long nowNanos) {
        return new VoidOrder(order.incarnation(), nowNanos, Long.MAX_VALUE);
    }

    VoidOrder withAcceptance(long nowNanos) {
        return new VoidOrder(incarnation, sentNanos, Math.min(acceptedNanos, nowNanos));
    }

    /** Returns whether a report shows everything that orders of the number can have done. */
    boolean acceptedBefore(ServerReport report) {
        return report.requestedNanos() >= acceptedNanos && incarnation.equals(report.incarnation());
    }
}
