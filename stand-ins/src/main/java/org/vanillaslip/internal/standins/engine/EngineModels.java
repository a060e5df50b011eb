package org.vanillaslip.internal.standins.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;

/**
 * Models and adapters of one incarnation of the stand-in engine, and the orders that it executed.
 * Each decision is executed at most once, and a refused decision stays refused.
 */
final class EngineModels {

    private final EngineSettings mSettings;
    private final String mIncarnation;
    private final Map<String, String> mCheckpoints;
    private final BiConsumer<Duration, Runnable> mTimer;
    private final EngineViolations mViolations;
    private final List<ResidentModel> mResidents = new ArrayList<>();
    private final Set<Long> mExecuted = new HashSet<>();
    private final Set<Long> mRefused = new TreeSet<>();
    private long mHighestTerm;

    EngineModels(
            EngineSettings settings,
            String incarnation,
            Map<String, String> checkpoints,
            BiConsumer<Duration, Runnable> timer,
            EngineViolations violations) {
        mSettings = settings;
        mIncarnation = incarnation;
        mCheckpoints = new HashMap<>(checkpoints);
        mTimer = timer;
        mViolations = violations;
    }

    /** Executes an order and returns the reason when it is refused. */
    synchronized Optional<String> execute(EngineOrder order) {
        if (!order.incarnation().equals(mIncarnation)) {
            return Optional.of("incarnation_mismatch");
        } else if (mSettings.fencing() && order.term() < mHighestTerm) {
            return refuse(order, "stale_term");
        }
        mHighestTerm = Math.max(mHighestTerm, order.term());
        if (order.decision() == 0 || mExecuted.contains(order.decision())) {
            return Optional.empty();
        } else if (mRefused.contains(order.decision())) {
            return Optional.of("out_of_memory");
        }
        return order.isLoad() ? load(order) : unload(order);
    }

    private Optional<String> load(EngineOrder order) {
        Optional<ResidentModel> present = find(order);
        if (present.isPresent()) {
            mViolations.executedTwice(order, present.get());
            mExecuted.add(order.decision());
            present.get().mDecision = order.decision();
            return Optional.empty();
        }
        long bytes = mSettings.requiredBytes(order.model(), order.adapterName());
        if (usedBytes() + bytes > mSettings.memoryBytes()) {
            mViolations.overcommitted(order, usedBytes() + bytes);
            return refuse(order, "out_of_memory");
        }
        mExecuted.add(order.decision());
        ResidentModel model = new ResidentModel(order, bytes);
        mResidents.add(model);
        boolean adapter = !order.adapterName().isEmpty();
        String place = mCheckpoints.getOrDefault(order.model(), "remote");
        mTimer.accept(mSettings.loadTimes().of(place, adapter), () -> finish(model));
        return Optional.empty();
    }

    private synchronized void finish(ResidentModel model) {
        model.mLoaded = true;
        if (model.mAdapter.isEmpty()) {
            mCheckpoints.put(model.mModel, "memory");
        }
        removeLeaving();
    }

    private Optional<String> unload(EngineOrder order) {
        mExecuted.add(order.decision());
        find(order).ifPresent(model -> model.mLeaving = true);
        removeLeaving();
        return Optional.empty();
    }

    private Optional<String> refuse(EngineOrder order, String reason) {
        if (!mExecuted.contains(order.decision())) {
            mRefused.add(order.decision());
        }
        return Optional.of(reason);
    }

    /** Starts a request on a loaded model; false when the model or the adapter is not loaded. */
    synchronized boolean enter(String model, String adapter) {
        boolean base = mResidents.stream().anyMatch(r -> r.serves(model, ""));
        boolean complete =
                adapter.isEmpty() || mResidents.stream().anyMatch(r -> r.serves(model, adapter));
        if (base && complete) {
            users(model, adapter).forEach(resident -> resident.mRunning++);
        }
        return base && complete;
    }

    /** Ends a request; an unload that waited for it takes effect. */
    synchronized void leave(String model, String adapter) {
        users(model, adapter).forEach(resident -> resident.mRunning--);
        removeLeaving();
    }

    private List<ResidentModel> users(String model, String adapter) {
        return mResidents.stream()
                .filter(r -> r.mLoaded && r.mModel.equals(model))
                .filter(r -> r.mAdapter.isEmpty() || r.mAdapter.equals(adapter))
                .toList();
    }

    // An unload takes effect when the running requests of the model have finished.
    private void removeLeaving() {
        mResidents.removeIf(model -> model.mLeaving && model.mLoaded && model.mRunning <= 0);
    }

    synchronized List<Map<String, Object>> residents() {
        List<Map<String, Object>> entries = new ArrayList<>();
        for (ResidentModel model : mResidents) {
            entries.add(
                    Map.of(
                            "model", model.mModel,
                            "version", model.mVersion,
                            "adapter", model.mAdapter,
                            "state", model.mLoaded ? "loaded" : "loading",
                            "decision", model.mDecision));
        }
        return entries;
    }

    synchronized long usedBytes() {
        return mResidents.stream().mapToLong(model -> model.mBytes).sum();
    }

    synchronized long highestTerm() {
        return mHighestTerm;
    }

    synchronized List<Long> refused() {
        return List.copyOf(mRefused);
    }

    synchronized Map<String, String> checkpoints() {
        return Map.copyOf(mCheckpoints);
    }

    String incarnation() {
        return mIncarnation;
    }

    private Optional<ResidentModel> find(EngineOrder order) {
        return mResidents.stream().filter(model -> model.is(order)).findFirst();
    }
}
