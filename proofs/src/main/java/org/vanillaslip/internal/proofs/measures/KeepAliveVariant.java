package org.vanillaslip.internal.proofs.measures;

import java.time.Duration;
import java.util.List;
import org.vanillaslip.internal.placement.KeepAlivePolicy;

/**
 * A keep-alive rule under comparison.
 *
 * @param learns whether the rule sees inter-arrival times; a baseline sees none, so that the
 *     keep-alive without history applies to every model
 */
record KeepAliveVariant(String name, KeepAlivePolicy policy, boolean learns) {

    // Values of the daemon.
    private static final Duration COLD_START_COST = Duration.ofMinutes(1);
    private static final Duration WITHOUT_HISTORY = Duration.ofMinutes(5);
    private static final Duration SHORTEST = Duration.ofSeconds(10);

    static KeepAliveVariant chosen(double weight) {
        return new KeepAliveVariant(
                "chosen, weight " + weight,
                new KeepAlivePolicy(weight, COLD_START_COST, WITHOUT_HISTORY, SHORTEST),
                true);
    }

    static List<KeepAliveVariant> baselines() {
        return List.of(
                baseline("fixed 10 minutes", Duration.ofMinutes(10)),
                baseline("always keep one", Duration.ofDays(365)),
                baseline("unload immediately", Duration.ZERO));
    }

    private static KeepAliveVariant baseline(String name, Duration keepAlive) {
        return new KeepAliveVariant(
                name, new KeepAlivePolicy(0, COLD_START_COST, keepAlive, Duration.ZERO), false);
    }
}
