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

    private record Refused(int callers, int priority, long backNanos) {}

    private final Map<ModelName, Refused> mRefused = new HashMap<>();

    /** Notes that the callers of a wish are refused when the model comes too late for all. */
    public void recordForecast(LoadDemand wish, Duration expected, long nowNanos) {
        if (expected.compareTo(wish.deadlineLeft()) > 0) {
            long back = nowNanos + expected.toNanos();
            mRefused.merge(
                    wish.model(),
                    new Refused(wish.waiting(), wish.priority(), back),
                    RefusedDemand::merge);
        }
    }

    /** Returns the wishes of waiting callers together with those of refused ones. */
    public Map<ModelName, LoadDemand> merge(
            Map<ModelName, LoadDemand> waiting, Predicate<ModelName> held, long nowNanos) {
        mRefused.values().removeIf(refused -> nowNanos - lastReturn(refused) > 0);
        mRefused.keySet().removeIf(held);
        Map<ModelName, LoadDemand> wishes = new HashMap<>(waiting);
        mRefused.forEach(
                (model, refused) ->
                        wishes.computeIfAbsent(model, name -> wish(name, refused, nowNanos)));
        return wishes;
    }

    private static Refused merge(Refused one, Refused other) {
        return new Refused(
                one.callers + other.callers,
                Math.min(one.priority, other.priority),
                Math.max(one.backNanos, other.backNanos));
    }

    private static long lastReturn(Refused refused) {
        return refused.backNanos + RETURN_SPREAD.toNanos();
    }

    private static LoadDemand wish(ModelName model, Refused refused, long nowNanos) {
        return new LoadDemand(
                model,
                refused.callers,
                Duration.ofNanos(Math.max(0, refused.backNanos - nowNanos)),
                Duration.ofNanos(lastReturn(refused) - nowNanos),
                refused.priority);
    }
}
