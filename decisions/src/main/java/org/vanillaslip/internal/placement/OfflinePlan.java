package org.vanillaslip.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.vanillaslip.BackendServer;

/** Chooses the offline placement set and shrinks it safely. */
final class OfflinePlan {

    private final Draft mDraft;
    private final ShardState mState;

    OfflinePlan(Draft draft, ShardState state) {
        mDraft = draft;
        mState = state;
    }

    void apply() {
        List<OfflineLoad> kept = new ArrayList<>();
        for (OfflineLoad load : mDraft.offline()) {
            if (load.inForce()) {
                // With the current term a load stays usable after a fence order of this holder.
                OfflineLoad current = load.takenOver(mState.lease().term());
                kept.add(stillUseful(load) ? current : load.retired(mState.lease().version() + 1));
            } else if (!released(load)) {
                kept.add(load);
            }
        }
        mDraft.offline(kept);
        mDraft.context().servers().forEach(this::fill);
    }

    // The loaded models that were used last are the ones to restore when a server restarts cold
    // during a partition; being loaded, they need no further memory.
    private void fill(BackendServer server) {
        long used = mDraft.offline().stream().filter(l -> l.server().equals(server.name())).count();
        if (mDraft.context().configuration().isDrained(server)) {
            return;
        }
        mDraft.placements().stream()
                .filter(p -> p.server().equals(server.name()) && p.adapter().isEmpty())
                .filter(p -> p.stage() == PlacementStage.LOADED)
                .filter(p -> mDraft.offline().stream().noneMatch(load -> load.coveredBy(p)))
                .sorted(Comparator.comparingLong(this::lastArrival).reversed())
                .limit(Math.max(0, mDraft.context().settings().offlineLoads() - used))
                .toList()
                .forEach(mDraft::addOffline);
    }

    private long lastArrival(Placement placement) {
        return mState.demand()
                .arrivals()
                .get(UnloadPlan.name(placement))
                .map(ArrivalHistory::lastNanos)
                .getOrElse(Long.MIN_VALUE);
    }

    private boolean stillUseful(OfflineLoad load) {
        return mDraft.find(p -> load.coveredBy(p) && p.stage() != PlacementStage.UNLOAD_ORDERED)
                .isPresent();
    }

    private boolean released(OfflineLoad load) {
        boolean confirmed =
                mDraft.context().domainHosts().stream()
                        .allMatch(
                                host ->
                                        host.equals(mDraft.context().host())
                                                || mState.confirmed().getOrElse(host, 0L)
                                                        >= load.retiredVersion());
        boolean fenced =
                mDraft.context().server(load.server()).map(s -> s.checksFencing()).orElse(true)
                        && load.term() < mState.lease().term()
                        && mState.reports()
                                .get(load.server())
                                .exists(r -> r.highestTerm() >= mState.lease().term());
        return confirmed || fenced;
    }
}
