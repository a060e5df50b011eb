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
 * Models and adapters in the memory of one incarnation of the stand-in engine, and the decisions
 * that it has executed or refused. Each decision is executed at most once, and a refused decision
 * remains refused.
 */
final class EngineModels {

    private final EngineSettings mSettings;
    private final String mIncarnation;
    private final Map<String, String> mCheckpointLocations;
    private final BiConsumer<Duration, Runnable> mScheduler;
    private final EngineViolations mViolations;
    private final List<ResidentModel> mResidentModels = new ArrayList<>();
    private final Set<Long> mExecutedDecisions = new HashSet<>();
    private final Set<Long> mRefusedDecisions = new TreeSet<>();
    private long mHighestTerm;

    EngineModels(
            EngineSettings settings,
            String incarnation,
            Map<String, String> checkpointLocations,
            BiConsumer<Duration, Runnable> scheduler,
            EngineViolations violations) {
        mSettings = settings;
        mIncarnation = incarnation;
        mCheckpointLocations = new HashMap<>(checkpointLocations);
        mScheduler = scheduler;
        mViolations = violations;
    }

    /** Executes an order; returns the reason if the order is refused. */
    synchronized Optional<String> execute(EngineOrder order) {
        if (!order.incarnation().equals(mIncarnation)) {
            return Optional.of("incarnation_mismatch");
        } else if (mSettings.fencing() && order.term() < mHighestTerm) {
            return refuse(order, "stale_term");
        }
        mHighestTerm = Math.max(mHighestTerm, order.term());
        if (order.decision() == 0 || mExecutedDecisions.contains(order.decision())) {
            return Optional.empty();
        } else if (mRefusedDecisions.contains(order.decision())) {
            return Optional.of("out_of_memory");
        }
        return order.isLoad() ? load(order) : unload(order);
    }

    private Optional<String> load(EngineOrder order) {
        Optional<ResidentModel> present = find(order);
        if (present.isPresent()) {
            mViolations.recordDuplicateLoad(order, present.get());
            mExecutedDecisions.add(order.decision());
            present.get().mDecision = order.decision();
            return Optional.empty();
        }
        long bytes = mSettings.requiredBytes(order.model(), order.adapterName());
        if (usedBytes() + bytes > mSettings.memoryBytes()) {
            mViolations.recordOvercommit(order, usedBytes() + bytes);
            return refuse(order, "out_of_memory");
        }
        mExecutedDecisions.add(order.decision());
        ResidentModel model = new ResidentModel(order, bytes);
        mResidentModels.add(model);
        boolean isAdapter = !order.adapterName().isEmpty();
        String location = mCheckpointLocations.getOrDefault(order.model(), "remote");
        mScheduler.accept(
                mSettings.loadTimes().loadTime(location, isAdapter), () -> finishLoad(model));
        return Optional.empty();
    }

    private synchronized void finishLoad(ResidentModel model) {
        model.mLoaded = true;
        if (model.mAdapter.isEmpty()) {
            mCheckpointLocations.put(model.mModel, "memory");
        }
        removeUnloaded();
    }

    private Optional<String> unload(EngineOrder order) {
        mExecutedDecisions.add(order.decision());
        find(order).ifPresent(model -> model.mUnloading = true);
        removeUnloaded();
        return Optional.empty();
    }

    private Optional<String> refuse(EngineOrder order, String reason) {
        if (!mExecutedDecisions.contains(order.decision())) {
            mRefusedDecisions.add(order.decision());
        }
        return Optional.of(reason);
    }

    /** Starts a request; returns false if the model or the adapter is not loaded. */
    synchronized boolean tryStartRequest(String model, String adapter) {
        boolean isBaseLoaded =
                mResidentModels.stream().anyMatch(candidate -> candidate.canServe(model, ""));
        boolean isAdapterLoaded =
                adapter.isEmpty()
                        || mResidentModels.stream()
                                .anyMatch(candidate -> candidate.canServe(model, adapter));
        if (isBaseLoaded && isAdapterLoaded) {
            modelsUsedBy(model, adapter).forEach(usedModel -> usedModel.mRunningRequests++);
        }
        return isBaseLoaded && isAdapterLoaded;
    }

    /** Ends a request, which completes an unload that waited for it. */
    synchronized void finishRequest(String model, String adapter) {
        modelsUsedBy(model, adapter).forEach(usedModel -> usedModel.mRunningRequests--);
        removeUnloaded();
    }

    private List<ResidentModel> modelsUsedBy(String model, String adapter) {
        return mResidentModels.stream()
                .filter(candidate -> candidate.mLoaded && candidate.mModel.equals(model))
                .filter(
                        candidate ->
                                candidate.mAdapter.isEmpty() || candidate.mAdapter.equals(adapter))
                .toList();
    }

    // An unload completes after the load and the running requests of the model have finished.
    private void removeUnloaded() {
        mResidentModels.removeIf(
                model -> model.mUnloading && model.mLoaded && model.mRunningRequests <= 0);
    }

    synchronized List<Map<String, Object>> residentModels() {
        List<Map<String, Object>> entries = new ArrayList<>();
        for (ResidentModel model : mResidentModels) {
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
        return mResidentModels.stream().mapToLong(model -> model.mBytes).sum();
    }

    synchronized long highestTerm() {
        return mHighestTerm;
    }

    synchronized List<Long> refusedDecisions() {
        return List.copyOf(mRefusedDecisions);
    }

    synchronized Map<String, String> checkpointLocations() {
        return Map.copyOf(mCheckpointLocations);
    }

    String incarnation() {
        return mIncarnation;
    }

    private Optional<ResidentModel> find(EngineOrder order) {
        return mResidentModels.stream().filter(model -> model.matches(order)).findFirst();
    }
}
