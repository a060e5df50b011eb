package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.vanillaslip.ModelName;

/**
 * Models whose callers were refused with the time at which the model is expected. The callers wait
 * no longer, but the model has to be there when they come back.
 */
public final class RefusedDemand {

    /** Callers spread their return a little, and are on their way. */
    private static final Duration RETURN_SPREAD = Duration.ofSeconds(1);

    private record RefusedCallers(int count, int priority, long returnNanos) {}

    private final Map<ModelName, RefusedCallers> mRefused = new HashMap<>();

    /** Notes that the callers of a wish are refused when the model comes too late for all. */
    public void recordForecast(LoadDemand demand, Duration expected, long nowNanos) {
        if (expected.compareTo(demand.deadlineLeft()) > 0) {
            long returnNanos = nowNanos + expected.toNanos();
            mRefused.merge(
                    demand.model(),
                    new RefusedCallers(demand.waiting(), demand.priority(), returnNanos),
                    RefusedDemand::merge);
        }
    }

    /** Returns the wishes of waiting callers together with those of refused ones. */
    public Map<ModelName, LoadDemand> merge(
            Map<ModelName, LoadDemand> waiting, Predicate<ModelName> loaded, long nowNanos) {
        mRefused.values().removeIf(refused -> nowNanos - lastReturnNanos(refused) > 0);
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
                Math.max(one.returnNanos, other.returnNanos));
    }

    private static long lastReturnNanos(RefusedCallers refused) {
        return refused.returnNanos + RETURN_SPREAD.toNanos();
    }

    private static LoadDemand toLoadDemand(ModelName model, RefusedCallers refused, long nowNanos) {
        return new LoadDemand(
                model,
                refused.count,
                Duration.ofNanos(Math.max(0, refused.returnNanos - nowNanos)),
                Duration.ofNanos(lastReturnNanos(refused) - nowNanos),
                refused.priority);
    }
}
