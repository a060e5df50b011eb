package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.vanillaslip.ModelName;

/**
 * Tracks the demand of callers that were refused with the time at which the model is expected. They
 * no longer wait, but the model must be loaded when they retry.
 */
public final class RefusedDemand {

    /** Allows for jitter and network delay of retries. */
    private static final Duration RETRY_TOLERANCE = Duration.ofSeconds(1);

    private record RefusedCallers(int count, int priority, long retryNanos) {}

    private final Map<ModelName, RefusedCallers> mRefused = new HashMap<>();

    /**
     * Records the callers as refused if the model is expected after the deadline of all of them.
     */
    public void recordForecast(LoadDemand demand, Duration expected, long nowNanos) {
        if (expected.compareTo(demand.deadlineLeft()) > 0) {
            long retryNanos = nowNanos + expected.toNanos();
            mRefused.merge(
                    demand.model(),
                    new RefusedCallers(demand.waiting(), demand.priority(), retryNanos),
                    RefusedDemand::merge);
        }
    }

    /** Returns the demand of waiting callers and, for other models, that of refused ones. */
    public Map<ModelName, LoadDemand> merge(
            Map<ModelName, LoadDemand> waiting, Predicate<ModelName> loaded, long nowNanos) {
        mRefused.values().removeIf(refused -> nowNanos - lastRetryNanos(refused) > 0);
        mRefused.keySet().removeIf(loaded);
        Map<ModelName, LoadDemand> demands = new HashMap<>(waiting);
        mRefused.forEach(
                (model, refused) ->
                        demands.computeIfAbsent(
                                model, name -> toLoadDemand(name, refused, nowNanos)));
        return demands;
    }

    private static RefusedCallers merge(RefusedCallers one, RefusedCallers other) {
        return new RefusedCallers(
                one.count + other.count,
                Math.min(one.priority, other.priority),
                Math.max(one.retryNanos, other.retryNanos));
    }

    private static long lastRetryNanos(RefusedCallers refused) {
        return refused.retryNanos + RETRY_TOLERANCE.toNanos();
    }

    private static LoadDemand toLoadDemand(ModelName model, RefusedCallers refused, long nowNanos) {
        return new LoadDemand(
                model,
                refused.count,
                Duration.ofNanos(Math.max(0, refused.retryNanos - nowNanos)),
                Duration.ofNanos(lastRetryNanos(refused) - nowNanos),
                refused.priority);
    }
}
