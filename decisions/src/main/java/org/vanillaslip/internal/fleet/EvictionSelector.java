package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;

/**
 * Selects the models to unload from an engine. The eviction cost of a model is the expected
 * additional wait of its next callers, in milliseconds.
 */
final class EvictionSelector {

    /** Cost of an urgent call for a model without a replica: it waits for an engine and a load. */
    private static final double URGENT_COST_MILLIS = 8000;

    /** Cost of an urgent call if other engines have loaded the model. */
    private static final double REPLICATED_COST_MILLIS = 700;

    /** Cost of a model with recent urgent calls, which is expected to become busy again. */
    private static final double RECENTLY_URGENT_COST_MILLIS = 900;

    private static final double NON_URGENT_COST_MILLIS = 1300;

    /** Time that an unload waits for the running calls of the model, and its cost. */
    private static final double RUNNING_CALLS_COST_MILLIS = 1500;

    /** Cost that keeps a model with waiting callers loaded unless nothing else can be evicted. */
    private static final double REQUESTED_COST_MILLIS = 60_000;

    private final EngineProfile mProfile;
    private final DemandHistory mHistory;
    private final Map<String, Integer> mReplicas;
    private final Set<String> mRequested;
    private final long mNowNanos;

    EvictionSelector(
            EngineProfile profile,
            DemandHistory history,
            Map<String, Integer> replicas,
            Set<String> requested,
            long nowNanos) {
        mProfile = profile;
        mHistory = history;
        mReplicas = replicas;
        mRequested = requested;
        mNowNanos = nowNanos;
    }

    /** Returns the models to unload before the given one fits; empty if it can't fit. */
    Optional<List<String>> modelsToUnload(EngineState engine, ModelProfile model) {
        double freeMegabytes =
                mProfile.weightsMegabytes()
                        - usedMegabytes(engine)
                        - engine.unconfirmedLoads().megabytes();
        List<String> evicted = new ArrayList<>();
        List<String> candidates =
                engine.modelState().loaded().keySet().stream()
                        .sorted(
                                Comparator.comparingDouble(
                                                (String name) -> evictionCost(engine, name))
                                        .thenComparing(Comparator.naturalOrder()))
                        .toList();
        for (String name : candidates) {
            if (freeMegabytes >= model.weightsMegabytes()) {
                break;
            }
            evicted.add(name);
            freeMegabytes += sizeMegabytes(engine, name);
        }
        boolean modelFits = freeMegabytes >= model.weightsMegabytes();
        // Only the first unload is ordered now; the others are planned again after it.
        boolean unconfirmedLoadsFit =
                evicted.isEmpty()
                        || fitsUnconfirmedLoads(engine, -sizeMegabytes(engine, evicted.get(0)));
        return modelFits && unconfirmedLoadsFit ? Optional.of(evicted) : Optional.empty();
    }

    /** Returns whether unconfirmed loads still fit after an adapter of the model is loaded. */
    boolean hasRoomForAdapter(EngineState engine, String model) {
        ModelProfile profile = mProfile.models().get(model);
        return profile != null && fitsUnconfirmedLoads(engine, profile.adapterMegabytes());
    }

    /** Returns whether unconfirmed loads fit after the used memory changes by the given amount. */
    private boolean fitsUnconfirmedLoads(EngineState engine, double addedMegabytes) {
        return usedMegabytes(engine) + addedMegabytes + engine.unconfirmedLoads().megabytes()
                <= mProfile.weightsMegabytes();
    }

    /** Returns the cost of unloading the model from the engine. */
    double evictionCost(EngineState engine, String model) {
        double urgentRate = mHistory.urgentRate(model, mNowNanos);
        int otherReplicas = mReplicas.getOrDefault(model, 1) - 1;
        double cost = mHistory.nonUrgentRate(model, mNowNanos) * NON_URGENT_COST_MILLIS;
        if (otherReplicas <= 0) {
            cost += urgentRate * URGENT_COST_MILLIS;
            cost += mHistory.wasRecentlyUrgent(model, mNowNanos) ? RECENTLY_URGENT_COST_MILLIS : 0;
        } else {
            cost += urgentRate * REPLICATED_COST_MILLIS / otherReplicas;
        }
        cost += engine.running().getOrDefault(model, 0) > 0 ? RUNNING_CALLS_COST_MILLIS : 0;
        boolean requested = mRequested.contains(model) || engine.recentlyLoaded().contains(model);
        cost += requested ? REQUESTED_COST_MILLIS : 0;
        return cost;
    }

    /** Returns the expected time to unload the models. */
    Duration unloadTime(EngineState engine, List<String> evicted) {
        boolean running =
                evicted.stream().anyMatch(name -> engine.running().getOrDefault(name, 0) > 0);
        return running
                ? Duration.ofMillis((long) RUNNING_CALLS_COST_MILLIS)
                : LoadPlanner.ORDER_TIME.multipliedBy(evicted.size());
    }

    private double usedMegabytes(EngineState engine) {
        return engine.modelState().loaded().keySet().stream()
                .mapToDouble(name -> sizeMegabytes(engine, name))
                .sum();
    }

    /** Returns the memory used by a model and its loaded adapters. */
    private double sizeMegabytes(EngineState engine, String model) {
        ModelProfile profile = mProfile.models().get(model);
        if (profile == null) {
            // The model is no longer configured and its size unknown, so assume an equal share.
            return mProfile.weightsMegabytes() / Math.max(1, engine.modelState().loaded().size());
        }
        int adapters = engine.modelState().loaded().getOrDefault(model, Set.of()).size();
        return profile.weightsMegabytes() + adapters * profile.adapterMegabytes();
    }
}
