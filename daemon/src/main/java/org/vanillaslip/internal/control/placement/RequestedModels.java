package org.vanillaslip.internal.control.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.vanillaslip.ModelName;

/** Models that requests on this host wait for, and arrivals not yet sent to a lease holder. */
final class RequestedModels {

    private final Map<ModelName, Long> mDeadlineNanos = new HashMap<>();
    private Map<ModelName, Integer> mArrivals = new HashMap<>();

    void addRequest(ModelName model, long deadlineNanos) {
        mDeadlineNanos.merge(model, deadlineNanos, Math::max);
    }

    /** Removes a model that is loaded or that no request waits for any more. */
    void removeRequest(ModelName model) {
        mDeadlineNanos.remove(model);
    }

    /** Returns the models that requests still wait for. */
    Set<ModelName> requestedModels(long nowNanos) {
        mDeadlineNanos.values().removeIf(deadline -> deadline <= nowNanos);
        return Set.copyOf(mDeadlineNanos.keySet());
    }

    long deadlineNanos(ModelName model) {
        return mDeadlineNanos.getOrDefault(model, Long.MIN_VALUE);
    }

    void recordArrival(ModelName model) {
        mArrivals.merge(model, 1, Integer::sum);
    }

    /** Returns and clears the arrivals. */
    Map<ModelName, Integer> drainArrivals() {
        Map<ModelName, Integer> arrivals = mArrivals;
        mArrivals = new HashMap<>();
        return arrivals;
    }
}
