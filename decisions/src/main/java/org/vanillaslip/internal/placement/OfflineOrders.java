package org.vanillaslip.internal.placement;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * Orders of the offline placement set that this host sent and whose outcome it does not know. Until
 * they are settled, the host confirms no newer record: such an order may still arrive and load a
 * model whose withdrawal the confirmation would have completed.
 *
 * @param unsettled the last order and the time of its sending by decision
 */
public record OfflineOrders(Map<Long, SentOrder> unsettled) {

    /** Returns a record without orders. */
    public static OfflineOrders none() {
        return new OfflineOrders(HashMap.empty());
    }

    /** Notes that the order was sent. */
    public OfflineOrders sent(Order order, long nowNanos) {
        return new OfflineOrders(unsettled.put(order.decision(), new SentOrder(order, nowNanos)));
    }

    /** Settles an order that the server has answered. */
    public OfflineOrders answered(Order order) {
        return new OfflineOrders(
                unsettled.filterValues(
                        sent ->
                                sent.order().decision() != order.decision()
                                        || !sent.order()
                                                .incarnation()
                                                .equals(order.incarnation())));
    }

    /** Settles orders that the report shows as executed, refused or void. */
    public OfflineOrders reported(ServerReport report) {
        return new OfflineOrders(unsettled.filterValues(sent -> !settles(report, sent)));
    }

    /** Returns whether this host may confirm that it acts on a newer record. */
    public boolean mayConfirm() {
        return unsettled.isEmpty();
    }

    /** Returns whether an order to the server is not settled. */
    public boolean concerns(String server) {
        return unsettled.values().exists(sent -> sent.order().server().equals(server));
    }

    private static boolean settles(ServerReport report, SentOrder sent) {
        Order order = sent.order();
        if (!report.server().equals(order.server()) || report.askedNanos() < sent.sentNanos()) {
            return false;
        }
        return !report.incarnation().equals(order.incarnation())
                || report.refused().contains(order.decision())
                || report.residents().stream().anyMatch(r -> r.decision() == order.decision());
    }
}
