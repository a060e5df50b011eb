package org.vanillaslip.internal.placement;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * What a holder remembers about decisions in its own memory.
 *
 * @param knownSince when this host learned of a decision
 * @param sentAt when this host last sent the order of a decision
 * @param fenceSentAt when this host last sent a fence order to a server
 * @param voidOrders the last void order by number of a withdrawn offline load
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
     * Returns when the decision became known; a decision that is not known yet is in the future.
     */
    long knownSinceNanos(long decision) {
        return knownSince.getOrElse(decision, Long.MAX_VALUE);
    }

    /** Keeps exactly the decisions of the given record. */
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

    /** Notes that the order was sent. */
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

    /** Notes that the server accepted a void order. */
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
