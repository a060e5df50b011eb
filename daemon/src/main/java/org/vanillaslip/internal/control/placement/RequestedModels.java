package org.vanillaslip.internal.control.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.vanillaslip.ModelName;

/** Models that requests on this host wait for, and arrivals not yet sent to a lease holder. */
final class RequestedModels {

    private final Map<ModelName, Long> mUntilNanos = new HashMap<>();
    private Map<ModelName, Integer> mArrivals = new HashMap<>();

    void want(ModelName model, long untilNanos) {
        mUntilNanos.merge(model, untilNanos, Math::max);
    }

    /** Takes out a model that is loaded or that no request waits for any more. */
    void forget(ModelName model) {
        mUntilNanos.remove(model);
    }

    /** Returns the models that a request waits for. */
    Set<ModelName> wanted(long nowNanos) {
        mUntilNanos.values().removeIf(until -> until <= nowNanos);
        return Set.copyOf(mUntilNanos.keySet());
    }

    long untilNanos(ModelName model) {
        return mUntilNanos.getOrDefault(model, Long.MIN_VALUE);
    }

    void arrive(ModelName model) {
        mArrivals.merge(model, 1, Integer::sum);
    }

    /** Returns and forgets the arrivals. */
    Map<ModelName, Integer> takeArrivals() {
        Map<ModelName, Integer> arrivals = mArrivals;
        mArrivals = new HashMap<>();
        return arrivals;
    }
}
