package org.vanillaslip.internal.placement;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.vanillaslip.ModelName;

/**
 * The requests that wait for models of a shard, and the arrival histories of its models.
 *
 * @param requestDeadlines latest deadline of the waiting requests by model; all requests of a model
 *     share one entry and therefore one load
 * @param arrivals arrival histories of models and adapters
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

    /** Adds a history for a model that an earlier lease holder loaded, unless one exists. */
    Demand withHistoryOf(ModelName model, long nowNanos) {
        return arrivals.containsKey(model) ? this : withArrivalOf(model, nowNanos);
    }

    /** Removes the waiting requests for a model that has been loaded; its idle time starts now. */
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

    /** Removes the requests whose deadlines have passed. */
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
