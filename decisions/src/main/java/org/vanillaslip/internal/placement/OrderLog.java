package org.vanillaslip.internal.placement;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.List;

/**
 * What a holder remembers about decisions in its own memory.
 *
 * @param knownSince when this host learned of a decision
 * @param sentAt when this host last sent the order of a decision
 * @param fencedAt when this host last sent a fence order to a server
 */
public record OrderLog(
        Map<Long, Long> knownSince, Map<Long, Long> sentAt, Map<String, Long> fencedAt) {

    /** Returns a log without entries. */
    static OrderLog empty() {
        return new OrderLog(HashMap.empty(), HashMap.empty(), HashMap.empty());
    }

    /**
     * Returns when the decision became known; a decision that is not known yet is in the future.
     */
    long knownSinceNanos(long decision) {
        return knownSince.getOrElse(decision, Long.MAX_VALUE);
    }

    /** Keeps exactly the decisions of the given placements. */
    OrderLog learned(List<Placement> placements, long nowNanos) {
        Map<Long, Long> known = HashMap.empty();
        Map<Long, Long> sent = HashMap.empty();
        for (Placement placement : placements) {
            Long decision = placement.decision();
            known = known.put(decision, knownSince.getOrElse(decision, nowNanos));
            if (sentAt.containsKey(decision)) {
                sent = sent.put(decision, sentAt.getOrElse(decision, nowNanos));
            }
        }
        return new OrderLog(known, sent, fencedAt);
    }

    /** Notes that the order was sent. */
    OrderLog sent(Order order, long nowNanos) {
        if (order.action() == OrderAction.FENCE) {
            return new OrderLog(knownSince, sentAt, fencedAt.put(order.server(), nowNanos));
        }
        return new OrderLog(knownSince, sentAt.put(order.decision(), nowNanos), fencedAt);
    }
}
