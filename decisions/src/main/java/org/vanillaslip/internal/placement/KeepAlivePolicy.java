package org.vanillaslip.internal.placement;

import java.time.Duration;

/**
 * Chooses how long an idle model stays loaded: minimises {@code weight x idle time + (1 - weight) x
 * cold starts}, both expected from the inter-arrival history.
 *
 * @param weight weight of idle accelerator time, from 0 to 1
 * @param coldStartCost idle time that is as bad as one cold start at equal weights
 * @param unknown keep-alive of a model without history
 * @param shortest shortest keep-alive; arrivals on other hosts are known with a delay, and a model
 *     in use must not look idle meanwhile
 */
public record KeepAlivePolicy(
        double weight, Duration coldStartCost, Duration unknown, Duration shortest) {

    /** Returns the keep-alive with the smallest expected cost. */
    public Duration keepAlive(ArrivalHistory history, int accelerators) {
        if (history.isEmpty()) {
            return unknown;
        }
        Duration best = Duration.ZERO;
        double bestCost = cost(history, Duration.ZERO, accelerators);
        for (Duration candidate : history.gaps()) {
            double cost = cost(history, candidate, accelerators);
            if (cost < bestCost) {
                bestCost = cost;
                best = candidate;
            }
        }
        return best.compareTo(shortest) < 0 ? shortest : best;
    }

    private double cost(ArrivalHistory history, Duration keepAlive, int accelerators) {
        double idle = 0;
        int cold = 0;
        for (Duration gap : history.gaps()) {
            idle += Math.min(gap.toNanos(), keepAlive.toNanos()) / 1e9;
            cold += gap.compareTo(keepAlive) > 0 ? 1 : 0;
        }
        return weight * idle * accelerators + (1 - weight) * cold * coldStartCost.toNanos() / 1e9;
    }
}
