package org.vanillaslip.internal.placement;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * Times at which a lease holder saw decisions and sent orders; kept in memory only.
 *
 * @param knownSince when this host first saw a decision
 * @param sentAt when this host last sent the order of a decision
 * @param fenceSentAt when this host last sent a fence order to a server
 * @param voidOrders the last void order by decision number of the withdrawn offline load
 */
public record OrderLog(
        Map<Long, Long> knownSince,
        Map<Long, Long> sentAt,
        Map<String, Long> fenceSentAt,
        Map<Long, VoidOrder> voidOrders) {

    /** Returns a log without entries. */
    static OrderLog empty() {
        return new OrderLog(HashMap.empty(), HashMap.empty(), HashMap.empty(), HashMap.empty());
    }

    /**
     * Returns when this host first saw the decision, or {@code Long.MAX_VALUE} if it has not seen
     * it.
     */
    long knownSinceNanos(long decision) {
        return knownSince.getOrElse(decision, Long.MAX_VALUE);
    }

    /** Adds the new decisions of the record and removes those that are no longer part of it. */
    OrderLog withDecisionsOf(ShardRecord record, long nowNanos) {
        Map<Long, Long> known = HashMap.empty();
        Map<Long, Long> sent = HashMap.empty();
        for (Placement placement : record.placements()) {
            Long decision = placement.decision();
            known = known.put(decision, knownSince.getOrElse(decision, nowNanos));
            if (sentAt.containsKey(decision)) {
                sent = sent.put(decision, sentAt.getOrElse(decision, nowNanos));
            }
        }
        Map<Long, VoidOrder> kept =
                voidOrders.filterKeys(
                        d -> record.offline().stream().anyMatch(l -> l.decision() == d));
        return new OrderLog(known, sent, fenceSentAt, kept);
    }

    /** Records that the order was sent. */
    OrderLog withSent(Order order, long nowNanos) {
        if (order.action() == OrderAction.FENCE) {
            return new OrderLog(
                    knownSince, sentAt, fenceSentAt.put(order.server(), nowNanos), voidOrders);
        } else if (order.action() == OrderAction.VOID) {
            return withVoidOrder(order, VoidOrder.sent(order, nowNanos));
        }
        return new OrderLog(
                knownSince, sentAt.put(order.decision(), nowNanos), fenceSentAt, voidOrders);
    }

    /** Records that the server accepted a void order. */
    OrderLog withVoidAccepted(Order order, long nowNanos) {
        return voidOrders
                .get(order.decision())
                .filter(sent -> sent.incarnation().equals(order.incarnation()))
                .map(sent -> withVoidOrder(order, sent.withAcceptance(nowNanos)))
                .getOrElse(this);
    }

    private OrderLog withVoidOrder(Order order, VoidOrder entry) {
        return new OrderLog(
                knownSince, sentAt, fenceSentAt, voidOrders.put(order.decision(), entry));
    }
}
