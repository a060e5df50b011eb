package org.vanillaslip.internal.placement;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * What a holder remembers about decisions in its own memory.
 *
 * @param knownSince when this host learned of a decision
 * @param sentAt when this host last sent the order of a decision
 * @param fencedAt when this host last sent a fence order to a server
 * @param voids the last void order by number of a withdrawn offline load
 */
public record OrderLog(
        Map<Long, Long> knownSince,
        Map<Long, Long> sentAt,
        Map<String, Long> fencedAt,
        Map<Long, VoidOrder> voids) {

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
    OrderLog learned(ShardRecord record, long nowNanos) {
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
                voids.filterKeys(d -> record.offline().stream().anyMatch(l -> l.decision() == d));
        return new OrderLog(known, sent, fencedAt, kept);
    }

    /** Notes that the order was sent. */
    OrderLog sent(Order order, long nowNanos) {
        if (order.action() == OrderAction.FENCE) {
            return new OrderLog(knownSince, sentAt, fencedAt.put(order.server(), nowNanos), voids);
        } else if (order.action() == OrderAction.VOID) {
            return withVoid(order, VoidOrder.sent(order, nowNanos));
        }
        return new OrderLog(knownSince, sentAt.put(order.decision(), nowNanos), fencedAt, voids);
    }

    /** Notes that the server accepted a void order. */
    OrderLog voided(Order order, long nowNanos) {
        return voids.get(order.decision())
                .filter(sent -> sent.incarnation().equals(order.incarnation()))
                .map(sent -> withVoid(order, sent.answered(nowNanos)))
                .getOrElse(this);
    }

    private OrderLog withVoid(Order order, VoidOrder entry) {
        return new OrderLog(knownSince, sentAt, fencedAt, voids.put(order.decision(), entry));
    }
}
