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
    private static final double URGENT_LOSS_MILLIS = 8000;

    /** Loss of an urgent call when other engines hold the model. */
    private static final double SHARED_LOSS_MILLIS = 700;

    /** A model that was busy before is expected to become busy again. */
    private static final double DORMANT_LOSS_MILLIS = 900;

    private static final double PATIENT_LOSS_MILLIS = 1300;

    /** An unload waits for the calls that run on the model. */
    private static final double RUNNING_LOSS_MILLIS = 1500;

    /** A model that callers wait for is not unloaded for another. */
    private static final double WANTED_LOSS_MILLIS = 60_000;

    private final EngineProfile mProfile;
    private final DemandHistory mHistory;
    private final Map<String, Integer> mReplicas;
    private final Set<String> mWanted;
    private final long mNowNanos;

    EvictionSelector(
            EngineProfile profile,
            DemandHistory history,
            Map<String, Integer> replicas,
            Set<String> wanted,
            long nowNanos) {
        mProfile = profile;
        mHistory = history;
        mReplicas = replicas;
        mWanted = wanted;
        mNowNanos = nowNanos;
    }

    /** Returns the models that make room for the given one; empty when nothing helps. */
    Optional<List<String>> victims(EngineState engine, ModelProfile model) {
        double free =
                mProfile.weightsMegabytes() - used(engine) - engine.unconfirmedLoads().megabytes();
        List<String> victims = new ArrayList<>();
        List<String> candidates =
                engine.modelState().loaded().keySet().stream()
                        .sorted(Comparator.comparingDouble(name -> loss(engine, name)))
                        .toList();
        for (String name : candidates) {
            if (free >= model.weightsMegabytes()) {
                break;
            }
            victims.add(name);
            free += size(engine, name);
        }
        boolean enough = free >= model.weightsMegabytes();
        boolean lateFit = victims.isEmpty() || fits(engine, -size(engine, victims.get(0)));
        return enough && lateFit ? Optional.of(victims) : Optional.empty();
    }

    /** Returns whether late loads still fit after an adapter of the model was loaded. */
    boolean hasRoomForAdapter(EngineState engine, String model) {
        ModelProfile profile = mProfile.models().get(model);
        return profile != null && fits(engine, profile.adapterMegabytes());
    }

    /** Returns whether late loads fit after the memory in use has changed. */
    private boolean fits(EngineState engine, double change) {
        return used(engine) + change + engine.unconfirmedLoads().megabytes()
                <= mProfile.weightsMegabytes();
    }

    /** Returns what is lost when the model is unloaded from the engine. */
    double loss(EngineState engine, String model) {
        double urgent = mHistory.urgentRate(model, mNowNanos);
        int others = mReplicas.getOrDefault(model, 1) - 1;
        double loss = mHistory.nonUrgentRate(model, mNowNanos) * PATIENT_LOSS_MILLIS;
        if (others <= 0) {
            loss += urgent * URGENT_LOSS_MILLIS;
            loss += mHistory.wasRecentlyUrgent(model, mNowNanos) ? DORMANT_LOSS_MILLIS : 0;
        } else {
            loss += urgent * SHARED_LOSS_MILLIS / others;
        }
        loss += engine.running().getOrDefault(model, 0) > 0 ? RUNNING_LOSS_MILLIS : 0;
        boolean wanted = mWanted.contains(model) || engine.recentlyLoaded().contains(model);
        loss += wanted ? WANTED_LOSS_MILLIS : 0;
        return loss;
    }

    /** Returns how long the unload of the models is expected to take. */
    Duration unloadTime(EngineState engine, List<String> victims) {
        boolean running =
                victims.stream().anyMatch(name -> engine.running().getOrDefault(name, 0) > 0);
        return running
                ? Duration.ofMillis((long) RUNNING_LOSS_MILLIS)
                : LoadPlanner.ORDER_TIME.multipliedBy(victims.size());
    }

    private double used(EngineState engine) {
        return engine.modelState().loaded().keySet().stream()
                .mapToDouble(name -> size(engine, name))
                .sum();
    }

    /** Room for every adapter place is kept, because adapters are loaded without a plan. */
    private double size(EngineState engine, String model) {
        ModelProfile profile = mProfile.models().get(model);
        if (profile == null) {
            // A model that is no longer configured; its size is unknown, so assume an equal part.
            return mProfile.weightsMegabytes() / Math.max(1, engine.modelState().loaded().size());
        }
        int adapters = engine.modelState().loaded().getOrDefault(model, Set.of()).size();
        return profile.weightsMegabytes() + adapters * profile.adapterMegabytes();
    }
}
