package org.vanillaslip.internal.placement;

import java.time.Duration;

/**
 * Chooses how long an idle model stays loaded: minimises {@code weight x idle time + (1 - weight) x
 * cold starts}, both expected from the inter-arrival history.
 *
 * @param idleWeight weight of idle accelerator time, from 0 to 1
 * @param coldStartCost idle time that is as bad as one cold start at equal weights
 * @param defaultKeepAlive keep-alive of a model without history
 * @param minimumKeepAlive shortest keep-alive; arrivals on other hosts are known with a delay, and
 *     a model in use must not look idle meanwhile
 */
public record KeepAlivePolicy(
        double idleWeight,
        Duration coldStartCost,
        Duration defaultKeepAlive,
        Duration minimumKeepAlive) {

    /** Returns the keep-alive with the smallest expected cost. */
    public Duration keepAlive(ArrivalHistory history, int accelerators) {
        if (history.isEmpty()) {
            return defaultKeepAlive;
        }
        Duration best = Duration.ZERO;
        double bestCost = cost(history, Duration.ZERO, accelerators);
        for (Duration candidate : history.interArrivalTimes()) {
            double cost = cost(history, candidate, accelerators);
            if (cost < bestCost) {
                bestCost = cost;
                best = candidate;
            }
        }
        return best.compareTo(minimumKeepAlive) < 0 ? minimumKeepAlive : best;
    }

    private double cost(ArrivalHistory history, Duration keepAlive, int accelerators) {
        double idle = 0;
        int cold = 0;
        for (Duration gap : history.interArrivalTimes()) {
            idle += Math.min(gap.toNanos(), keepAlive.toNanos()) / 1e9;
            cold += gap.compareTo(keepAlive) > 0 ? 1 : 0;
        }
        return idleWeight * idle * accelerators
                + (1 - idleWeight) * cold * coldStartCost.toNanos() / 1e9;
    }
}
