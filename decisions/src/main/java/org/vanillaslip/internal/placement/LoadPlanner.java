package org.vanillaslip.internal.placement;

import java.util.Optional;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Model;
import org.vanillaslip.ModelName;

/** Decides which requested models and adapters to load, and where. */
final class LoadPlanner {

    private final ShardRecordDraft mDraft;
    private final ShardState mState;
    private final LoadTargetSelector mTargetSelector;
    private final UnloadPlanner mUnloadPlanner;
    private final long mNowNanos;

    LoadPlanner(
            ShardRecordDraft draft,
            ShardState state,
            LoadTargetSelector targetSelector,
            UnloadPlanner unloadPlanner,
            long nowNanos) {
        mDraft = draft;
        mState = state;
        mTargetSelector = targetSelector;
        mUnloadPlanner = unloadPlanner;
        mNowNanos = nowNanos;
    }

    /** Decides loads in the order of the request deadlines. */
    void apply() {
        mState.demand()
                .requestDeadlines()
                .toList()
                .sortBy(entry -> entry._2())
                .map(entry -> entry._1())
                .forEach(this::planLoad);
    }

    private void planLoad(ModelName name) {
        Optional<Model> model = mDraft.context().model(name.model());
        if (model.isEmpty()) {
            return;
        }
        Optional<Placement> base =
                mDraft.findPlacement(
                        p ->
                                p.isFor(model.get().name(), model.get().version(), "")
                                        && p.stage() != PlacementStage.UNLOAD_ORDERED
                                        && onUndrainedServer(p));
        if (base.isEmpty()) {
            planBaseLoad(name, model.get());
        } else if (name.adapter().isPresent()) {
            planAdapterLoad(name, model.get(), name.adapter().get());
        }
    }

    private boolean onUndrainedServer(Placement placement) {
        return mDraft.context()
                .server(placement.server())
                .filter(server -> !mDraft.context().configuration().isDrained(server))
                .isPresent();
    }

    private void planBaseLoad(ModelName name, Model model) {
        if (mDraft.replicas(model.name()) >= mDraft.allowance(model.name())) {
            return;
        }
        long adapterBytes = name.adapter().isPresent() ? model.adapterMemoryBytes() : 0;
        long bytes = model.memoryBytes() + adapterBytes;
        for (BackendServer server : mTargetSelector.candidates(model, mDraft.record())) {
            long free = mTargetSelector.freeBytes(server, mDraft.record());
            if (free >= bytes) {
                loadIfWeightStoreAdmits(model, server);
                return;
            } else if (mUnloadPlanner.evictIdleModels(server, bytes, free, name)) {
                return;
            }
        }
    }

    // A load beyond the limit of parallel loads is not recorded yet, so that it can still be
    // dropped when no request waits for it any more.
    private void loadIfWeightStoreAdmits(Model model, BackendServer server) {
        String source = mTargetSelector.checkpointSource(model, server.name());
        int inFlight = mTargetSelector.pendingRemoteLoads(mDraft.record());
        boolean admitted =
                mDraft.context().weightStore().admitsLoad(inFlight) && startIntervalPassed();
        if (!source.equals("remote") || admitted) {
            mTargetSelector
                    .recentReport(server.name())
                    .ifPresent(
                            report ->
                                    mDraft.recordLoad(report, model, "", "wanted, from " + source));
        }
    }

    // The source of a finished load is not recorded, so every load counts as a start from the
    // weight store.
    private boolean startIntervalPassed() {
        long interval = mDraft.context().weightStore().startIntervalNanos();
        return mDraft.placements().stream()
                .filter(p -> p.adapter().isEmpty() && p.stage() != PlacementStage.UNLOAD_ORDERED)
                .map(p -> mState.orderLog().knownSince().getOrElse(p.decision(), mNowNanos))
                .allMatch(since -> mNowNanos - since >= interval);
    }

    private void planAdapterLoad(ModelName name, Model model, String adapter) {
        boolean placed =
                mDraft.findPlacement(
                                p ->
                                        p.isFor(model.name(), model.version(), adapter)
                                                && onUndrainedServer(p))
                        .isPresent();
        if (placed || pendingAdapterLoads() >= maxPendingAdapterLoads()) {
            return;
        }
        for (Placement base : mDraft.placements()) {
            if (base.isFor(model.name(), model.version(), "")
                    && base.stage() == PlacementStage.LOADED
                    && onUndrainedServer(base)
                    && loadAdapter(name, model, adapter, base)) {
                return;
            }
        }
    }

    private boolean loadAdapter(ModelName name, Model model, String adapter, Placement base) {
        Optional<BackendServer> server = mDraft.context().server(base.server());
        Optional<ServerReport> report = mTargetSelector.recentReport(base.server());
        if (server.isEmpty()
                || report.isEmpty()
                || !report.get().incarnation().equals(base.incarnation())) {
            return false;
        }
        long free = mTargetSelector.freeBytes(server.get(), mDraft.record());
        if (free >= model.adapterMemoryBytes()) {
            mDraft.recordLoad(report.get(), model, adapter, "wanted");
            return true;
        }
        return mUnloadPlanner.evictIdleModels(server.get(), model.adapterMemoryBytes(), free, name);
    }

    private int maxPendingAdapterLoads() {
        return mDraft.context().weightStore().parallelAdapterLoads();
    }

    private long pendingAdapterLoads() {
        return mDraft.placements().stream()
                .filter(p -> !p.adapter().isEmpty() && p.stage() == PlacementStage.LOAD_ORDERED)
                .count();
    }
}
