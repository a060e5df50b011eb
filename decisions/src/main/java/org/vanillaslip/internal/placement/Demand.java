package org.vanillaslip.internal.placement;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.vanillaslip.ModelName;

/**
 * What callers want of a shard.
 *
 * @param requestDeadlines latest time at which some request still waits, by model; one entry for
 *     all requests of a model, so that they share one load
 * @param arrivals arrivals by model and by adapter
 */
public record Demand(
        Map<ModelName, Long> requestDeadlines, Map<ModelName, ArrivalHistory> arrivals) {

    /** Returns no demand. */
    static Demand none() {
        return new Demand(HashMap.empty(), HashMap.empty());
    }

    /** Adds a request that waits until the given time. */
    Demand withRequest(ModelName model, long untilNanos) {
        return new Demand(requestDeadlines.put(model, untilNanos, Math::max), arrivals);
    }

    /** Adds arrivals of the model; an adapter's arrival also counts for its base model. */
    Demand withArrival(ModelName model, long nowNanos) {
        Demand next = withArrivalOf(model, nowNanos);
        return model.adapter().isPresent() ? next.withArrivalOf(model.base(), nowNanos) : next;
    }

    /** Starts the history of a model whose arrivals went to an earlier holder. */
    Demand withHistoryOf(ModelName model, long nowNanos) {
        return arrivals.containsKey(model) ? this : withArrivalOf(model, nowNanos);
    }

    /** Ends the wait for a model that is loaded; its idle time starts now. */
    Demand withoutRequestsFor(ModelName model, long nowNanos) {
        if (!requestDeadlines.containsKey(model)) {
            return this;
        }
        return new Demand(
                requestDeadlines.remove(model),
                arrivals.put(
                        model,
                        arrivals.get(model)
                                .map(history -> history.withIdleSince(nowNanos))
                                .getOrElse(() -> ArrivalHistory.startingAt(nowNanos))));
    }

    /** Returns this demand without requests whose wait has ended. */
    Demand withoutExpiredRequests(long nowNanos) {
        return new Demand(requestDeadlines.filterValues(until -> until > nowNanos), arrivals);
    }

    private Demand withArrivalOf(ModelName model, long nowNanos) {
        ArrivalHistory history =
                arrivals.get(model)
                        .map(known -> known.withArrival(nowNanos))
                        .getOrElse(() -> ArrivalHistory.startingAt(nowNanos));
        return new Demand(requestDeadlines, arrivals.put(model, history));
    }
}
