package org.vanillaslip.internal.placement;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.vanillaslip.ModelName;

/**
 * What callers want of a shard.
 *
 * @param wantedUntil latest time at which some request still waits, by model; one entry for all
 *     requests of a model, so that they share one load
 * @param arrivals arrivals by model and by adapter
 */
public record Demand(Map<ModelName, Long> wantedUntil, Map<ModelName, ArrivalHistory> arrivals) {

    /** Returns no demand. */
    static Demand none() {
        return new Demand(HashMap.empty(), HashMap.empty());
    }

    /** Adds a request that waits until the given time. */
    Demand wanted(ModelName model, long untilNanos) {
        return new Demand(wantedUntil.put(model, untilNanos, Math::max), arrivals);
    }

    /** Adds arrivals of the model; an adapter's arrival also counts for its base model. */
    Demand arrived(ModelName model, long nowNanos) {
        Demand next = arrivedAt(model, nowNanos);
        return model.adapter().isPresent() ? next.arrivedAt(model.base(), nowNanos) : next;
    }

    /** Starts the history of a model whose arrivals went to an earlier holder. */
    Demand seeded(ModelName model, long nowNanos) {
        return arrivals.containsKey(model) ? this : arrivedAt(model, nowNanos);
    }

    /** Ends the wait for a model that is loaded; its idle time starts now. */
    Demand served(ModelName model, long nowNanos) {
        if (!wantedUntil.containsKey(model)) {
            return this;
        }
        return new Demand(
                wantedUntil.remove(model),
                arrivals.put(
                        model,
                        arrivals.get(model)
                                .map(history -> history.used(nowNanos))
                                .getOrElse(() -> ArrivalHistory.startingAt(nowNanos))));
    }

    /** Returns this demand without requests whose wait has ended. */
    Demand expire(long nowNanos) {
        return new Demand(wantedUntil.filterValues(until -> until > nowNanos), arrivals);
    }

    private Demand arrivedAt(ModelName model, long nowNanos) {
        ArrivalHistory history =
                arrivals.get(model)
                        .map(known -> known.arrived(nowNanos))
                        .getOrElse(() -> ArrivalHistory.startingAt(nowNanos));
        return new Demand(wantedUntil, arrivals.put(model, history));
    }
}
