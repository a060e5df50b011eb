package org.vanillaslip.internal.placement;

import java.time.Duration;

/**
 * Determines how long an idle model stays loaded. It minimises {@code idleWeight x idle time + (1 -
 * idleWeight) x cold starts x coldStartCost}, where both are expected from the inter-arrival
 * history.
 *
 * @param idleWeight weight of idle accelerator time, from 0 to 1
 * @param coldStartCost idle time that costs as much as one cold start at equal weights
 * @param defaultKeepAlive keep-alive of a model without an arrival history
 * @param minimumKeepAlive lower bound of the keep-alive; arrivals on other hosts are reported with
 *     a delay, and a model in use must not appear idle in the meantime
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
        double idleSeconds = 0;
        int coldStarts = 0;
        for (Duration gap : history.interArrivalTimes()) {
            idleSeconds += Math.min(gap.toNanos(), keepAlive.toNanos()) / 1e9;
            coldStarts += gap.compareTo(keepAlive) > 0 ? 1 : 0;
        }
        return idleWeight * idleSeconds * accelerators
                + (1 - idleWeight) * coldStarts * coldStartCost.toNanos() / 1e9;
    }
}
