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
 * Decides which loaded models make way on an engine. The loss of a model is the time, in
 * milliseconds, that its next callers are expected to lose.
 */
final class EvictionSelector {

    /** An urgent call that finds no copy waits for a load and the turn of an engine. */
    private static final double URGENT_COST_MILLIS = 8000;

    /** Loss of an urgent call when other engines hold the model. */
    private static final double REPLICATED_COST_MILLIS = 700;

    /** A model that was busy before is expected to become busy again. */
    private static final double RECENTLY_URGENT_COST_MILLIS = 900;

    private static final double NON_URGENT_COST_MILLIS = 1300;

    /** An unload waits for the calls that run on the model. */
    private static final double RUNNING_CALLS_COST_MILLIS = 1500;

    /** A model that callers wait for is not unloaded for another. */
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

    /** Returns the models that make room for the given one; empty when nothing helps. */
    Optional<List<String>> modelsToUnload(EngineState engine, ModelProfile model) {
        double freeMegabytes =
                mProfile.weightsMegabytes()
                        - usedMegabytes(engine)
                        - engine.unconfirmedLoads().megabytes();
        List<String> evicted = new ArrayList<>();
        List<String> candidates =
                engine.modelState().loaded().keySet().stream()
                        .sorted(Comparator.comparingDouble(name -> evictionCost(engine, name)))
                        .toList();
        for (String name : candidates) {
            if (freeMegabytes >= model.weightsMegabytes()) {
                break;
            }
            evicted.add(name);
            freeMegabytes += sizeMegabytes(engine, name);
        }
        boolean enough = freeMegabytes >= model.weightsMegabytes();
        boolean unconfirmedLoadsFit =
                evicted.isEmpty()
                        || fitsUnconfirmedLoads(engine, -sizeMegabytes(engine, evicted.get(0)));
        return enough && unconfirmedLoadsFit ? Optional.of(evicted) : Optional.empty();
    }

    /** Returns whether late loads still fit after an adapter of the model was loaded. */
    boolean hasRoomForAdapter(EngineState engine, String model) {
        ModelProfile profile = mProfile.models().get(model);
        return profile != null && fitsUnconfirmedLoads(engine, profile.adapterMegabytes());
    }

    /** Returns whether late loads fit after the memory in use has changed. */
    private boolean fitsUnconfirmedLoads(EngineState engine, double addedMegabytes) {
        return usedMegabytes(engine) + addedMegabytes + engine.unconfirmedLoads().megabytes()
                <= mProfile.weightsMegabytes();
    }

    /** Returns what is lost when the model is unloaded from the engine. */
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

    /** Returns how long the unload of the models is expected to take. */
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

    /** Room for every adapter place is kept, because adapters are loaded without a plan. */
    private double sizeMegabytes(EngineState engine, String model) {
        ModelProfile profile = mProfile.models().get(model);
        if (profile == null) {
            // A model that is no longer configured; its size is unknown, so assume an equal part.
            return mProfile.weightsMegabytes() / Math.max(1, engine.modelState().loaded().size());
        }
        int adapters = engine.modelState().loaded().getOrDefault(model, Set.of()).size();
        return profile.weightsMegabytes() + adapters * profile.adapterMegabytes();
    }
}
