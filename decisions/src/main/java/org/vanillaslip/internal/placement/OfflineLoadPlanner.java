package org.vanillaslip.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.vanillaslip.BackendServer;

/**
 * Selects the offline placement set and removes withdrawn loads once they can no longer be
 * executed.
 */
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
                // A load with an older term would be refused after a fence order of this holder.
                OfflineLoad current = load.withTerm(mState.lease().term());
                kept.add(isPlaced(load) ? current : load.withdrawn(mState.lease().version() + 1));
            } else if (!canBeRemoved(load)) {
                kept.add(load);
            }
        }
        mDraft.setOfflineLoads(kept);
        mDraft.context().servers().forEach(this::addOfflineLoads);
    }

    // If a server restarts during a partition, the most recently used models are restored. They are
    // loaded already, so the offline loads need no further memory.
    private void addOfflineLoads(BackendServer server) {
        long existing =
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
                .sorted(Comparator.comparingLong(this::lastUseNanos).reversed())
                .limit(Math.max(0, mDraft.context().settings().offlineLoadsPerServer() - existing))
                .toList()
                .forEach(mDraft::addOfflineLoad);
    }

    private long lastUseNanos(Placement placement) {
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

    // Once all hosts have confirmed the withdrawal, none of them sends the load any more. The void
    // order prevents the execution of earlier orders, also of those from hosts that have restarted
    // or stopped. A higher term would not suffice: a server loses it in a restart and would then
    // accept the load from a partitioned host.
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
                                                confirmation ->
                                                        confirmation.confirmedBefore(
                                                                report, load.retiredVersion())));
    }

    private boolean isVoided(OfflineLoad load, ServerReport report) {
        return report.refusedDecisions().contains(load.decision())
                || mState.orderLog()
                        .voidOrders()
                        .get(load.decision())
                        .exists(voidOrder -> voidOrder.acceptedBefore(report));
    }

    private boolean isLoadedButNotPlaced(OfflineLoad load, ServerReport report) {
        return report.models().stream().anyMatch(r -> r.model().equals(load.model()))
                && mDraft.findPlacement(load::coveredBy).isEmpty();
    }
}
