package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;

/**
 * Cost of an order for the callers who need another one on the same engine meanwhile: an engine
 * accepts one order at a time, so that no adapter can be changed on it during a load.
 */
final class OrderBlockingCost {

    private final EngineProfile mProfile;
    private final DemandHistory mHistory;
    private final long mNowNanos;
    private final Map<String, Integer> mAvailableReplicas = new HashMap<>();

    OrderBlockingCost(
            EngineProfile profile,
            DemandHistory history,
            List<EngineState> engines,
            long nowNanos) {
        mProfile = profile;
        mHistory = history;
        mNowNanos = nowNanos;
        for (EngineState engine : engines) {
            if (engine.canAcceptOrder()) {
                engine.modelState()
                        .loaded()
                        .keySet()
                        .forEach(model -> mAvailableReplicas.merge(model, 1, Integer::sum));
            }
        }
    }

    /** Returns the expected wait, summed over the callers, in milliseconds. */
    double millis(EngineState engine, Duration orderTime) {
        double callsPerSecond =
                engine.modelState().loaded().keySet().stream()
                        .mapToDouble(this::adapterCallsPerEngine)
                        .sum();
        // Callers arrive evenly during the order, so each waits half of its time on average.
        return callsPerSecond * orderTime.toMillis() * orderTime.toMillis() / 2000;
    }

    private double adapterCallsPerEngine(String model) {
        ModelProfile profile = mProfile.models().get(model);
        if (profile == null || profile.adapterCount() == 0) {
            return 0;
        }
        return mHistory.adapterRate(model, mNowNanos)
                / Math.max(1, mAvailableReplicas.getOrDefault(model, 1));
    }
}
