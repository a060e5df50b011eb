package org.vanillaslip.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.vanillaslip.BackendServer;

/** Chooses the offline placement set and shrinks it safely. */
final class OfflineLoadPlanner {

    private final ShardRecordDraft mDraft;
    private final ShardState mState;

    OfflineLoadPlanner(ShardRecordDraft draft, ShardState state) {
        mDraft = draft;
        mState = state;
    }

    void apply() {
        List<OfflineLoad> kept = new ArrayList<>();
        for (OfflineLoad load : mDraft.offlineLoads()) {
            if (load.active()) {
                // With the current term a load stays usable after a fence order of this holder.
                OfflineLoad current = load.withTerm(mState.lease().term());
                kept.add(isPlaced(load) ? current : load.withdrawn(mState.lease().version() + 1));
            } else if (!canBeRemoved(load)) {
                kept.add(load);
            }
        }
        mDraft.setOfflineLoads(kept);
        mDraft.context().servers().forEach(this::addOfflineLoads);
    }

    // The loaded models that were used last are the ones to restore when a server restarts cold
    // during a partition; being loaded, they need no further memory.
    private void addOfflineLoads(BackendServer server) {
        long used =
                mDraft.offlineLoads().stream()
                        .filter(l -> l.server().equals(server.name()))
                        .count();
        if (mDraft.context().configuration().isDrained(server)) {
            return;
        }
        mDraft.placements().stream()
                .filter(p -> p.server().equals(server.name()) && p.adapter().isEmpty())
                .filter(p -> p.stage() == PlacementStage.LOADED)
                .filter(p -> mDraft.offlineLoads().stream().noneMatch(load -> load.coveredBy(p)))
                .sorted(Comparator.comparingLong(this::lastArrival).reversed())
                .limit(Math.max(0, mDraft.context().settings().offlineLoadsPerServer() - used))
                .toList()
                .forEach(mDraft::addOfflineLoad);
    }

    private long lastArrival(Placement placement) {
        return mState.demand()
                .arrivals()
                .get(UnloadPlanner.modelName(placement))
                .map(ArrivalHistory::idleSinceNanos)
                .getOrElse(Long.MIN_VALUE);
    }

    private boolean isPlaced(OfflineLoad load) {
        return mDraft.findPlacement(
                        p -> load.coveredBy(p) && p.stage() != PlacementStage.UNLOAD_ORDERED)
                .isPresent();
    }

    // After the confirmations no host sends the load any more, and the void order stops those that
    // were sent before, also by hosts that have restarted or are gone. A higher term would not be
    // enough: a server that restarts forgets it and takes the load from a partitioned host.
    private boolean canBeRemoved(OfflineLoad load) {
        return mState.reports()
                .get(load.server())
                .exists(
                        report ->
                                isWithdrawalConfirmed(load, report)
                                        && isVoided(load, report)
                                        && !isLoadedButNotPlaced(load, report));
    }

    private boolean isWithdrawalConfirmed(OfflineLoad load, ServerReport report) {
        return mDraft.context().domainHosts().stream()
                .allMatch(
                        host ->
                                mState.confirmations()
                                        .get(host)
                                        .exists(
                                                c ->
                                                        c.confirmedBefore(
                                                                report, load.retiredVersion())));
    }

    private boolean isVoided(OfflineLoad load, ServerReport report) {
        return report.refusedDecisions().contains(load.decision())
                || mState.orderLog()
                        .voidOrders()
                        .get(load.decision())
                        .exists(v -> v.acceptedBefore(report));
    }

    private boolean isLoadedButNotPlaced(OfflineLoad load, ServerReport report) {
        return report.models().stream().anyMatch(r -> r.model().equals(load.model()))
                && mDraft.findPlacement(load::coveredBy).isEmpty();
    }
}
