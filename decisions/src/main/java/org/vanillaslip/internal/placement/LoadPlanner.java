package org.vanillaslip.internal.placement;

import java.util.Optional;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Model;
import org.vanillaslip.ModelName;

/** Decides loads for the models that callers wait for. */
final class LoadPlanner {

    private final ShardRecordDraft mDraft;
    private final ShardState mState;
    private final LoadTargetSelector mChoice;
    private final UnloadPlanner mUnloads;
    private final long mNowNanos;

    LoadPlanner(
            ShardRecordDraft draft,
            ShardState state,
            LoadTargetSelector choice,
            UnloadPlanner unloads,
            long nowNanos) {
        mDraft = draft;
        mState = state;
        mChoice = choice;
        mUnloads = unloads;
        mNowNanos = nowNanos;
    }

    /** Decides loads, those whose callers wait shortest first. */
    void apply() {
        mState.demand()
                .requestDeadlines()
                .toList()
                .sortBy(entry -> entry._2())
                .map(entry -> entry._1())
                .forEach(this::place);
    }

    private void place(ModelName name) {
        Optional<Model> model = mDraft.context().model(name.model());
        if (model.isEmpty()) {
            return;
        }
        Optional<Placement> base =
                mDraft.find(
                        p ->
                                p.isFor(model.get().name(), model.get().version(), "")
                                        && p.stage() != PlacementStage.UNLOAD_ORDERED
                                        && usable(p));
        if (base.isEmpty()) {
            placeBase(name, model.get());
        } else if (name.adapter().isPresent()) {
            placeAdapter(name, model.get(), name.adapter().get());
        }
    }

    private boolean usable(Placement placement) {
        return mDraft.context()
                .server(placement.server())
                .filter(server -> !mDraft.context().configuration().isDrained(server))
                .isPresent();
    }

    private void placeBase(ModelName name, Model model) {
        if (mDraft.replicas(model.name()) >= mDraft.allowance(model.name())) {
            return;
        }
        long adapterBytes = name.adapter().isPresent() ? model.adapterMemoryBytes() : 0;
        long bytes = model.memoryBytes() + adapterBytes;
        for (BackendServer server : mChoice.candidates(model, mDraft.record())) {
            long free = mChoice.free(server, mDraft.record());
            if (free >= bytes) {
                loadIfStoreAdmits(model, server);
                return;
            } else if (mUnloads.makeRoom(server, bytes, free, name)) {
                return;
            }
        }
    }

    // A load beyond the parallel limit stays undecided, so that it can still be dropped when nobody
    // waits for it any more.
    private void loadIfStoreAdmits(Model model, BackendServer server) {
        String place = mChoice.place(model, server.name());
        int inFlight = mChoice.remoteLoads(mDraft.record());
        boolean admitted = mDraft.context().weightStore().admitsLoad(inFlight) && mayStart();
        if (!place.equals("remote") || admitted) {
            mChoice.report(server.name())
                    .ifPresent(report -> mDraft.load(report, model, "", "wanted, from " + place));
        }
    }

    // Where a loaded model came from is no longer known, so that every load counts as a start.
    private boolean mayStart() {
        long distance = mDraft.context().weightStore().startIntervalNanos();
        return mDraft.placements().stream()
                .filter(p -> p.adapter().isEmpty() && p.stage() != PlacementStage.UNLOAD_ORDERED)
                .map(p -> mState.orderLog().knownSince().getOrElse(p.decision(), mNowNanos))
                .allMatch(since -> mNowNanos - since >= distance);
    }

    private void placeAdapter(ModelName name, Model model, String adapter) {
        boolean placed =
                mDraft.find(p -> p.isFor(model.name(), model.version(), adapter) && usable(p))
                        .isPresent();
        if (placed || adaptersInFlight() >= adapterLimit()) {
            return;
        }
        for (Placement base : mDraft.placements()) {
            if (base.isFor(model.name(), model.version(), "")
                    && base.stage() == PlacementStage.LOADED
                    && usable(base)
                    && loadAdapter(name, model, adapter, base)) {
                return;
            }
        }
    }

    private boolean loadAdapter(ModelName name, Model model, String adapter, Placement base) {
        Optional<BackendServer> server = mDraft.context().server(base.server());
        Optional<ServerReport> report = mChoice.report(base.server());
        if (server.isEmpty()
                || report.isEmpty()
                || !report.get().incarnation().equals(base.incarnation())) {
            return false;
        }
        long free = mChoice.free(server.get(), mDraft.record());
        if (free >= model.adapterMemoryBytes()) {
            mDraft.load(report.get(), model, adapter, "wanted");
            return true;
        }
        return mUnloads.makeRoom(server.get(), model.adapterMemoryBytes(), free, name);
    }

    private int adapterLimit() {
        return mDraft.context().weightStore().parallelAdapterLoads();
    }

    private long adaptersInFlight() {
        return mDraft.placements().stream()
                .filter(p -> !p.adapter().isEmpty() && p.stage() == PlacementStage.LOAD_ORDERED)
                .count();
    }
}
