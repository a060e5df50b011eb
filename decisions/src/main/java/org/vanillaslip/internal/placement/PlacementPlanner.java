package org.vanillaslip.internal.placement;

import org.vanillaslip.ModelName;

/** Derives the next record from the stored one, the reports and the demand. */
final class PlacementPlanner {

    private final ShardRecordDraft mDraft;
    private final boolean mWaitsForOtherShards;

    PlacementPlanner(ShardState state, ShardContext context, long nowNanos) {
        mDraft = new ShardRecordDraft(context, state.record());
        ReportReconciler.apply(mDraft, state);
        // A lease holder with an older configuration than its predecessor would revert the
        // predecessor's decisions.
        boolean current =
                context.configuration().version() >= state.record().configurationVersion();
        if (current) {
            cancelUnrequestedLoads(state);
            UnloadPlanner unloadPlanner = new UnloadPlanner(mDraft, state, nowNanos);
            unloadPlanner.apply();
            mWaitsForOtherShards = new AllowancePlanner(mDraft, state).apply();
            LoadTargetSelector targetSelector = new LoadTargetSelector(state, context, nowNanos);
            new LoadPlanner(mDraft, state, targetSelector, unloadPlanner, nowNanos).apply();
            new OfflineLoadPlanner(mDraft, state).apply();
        } else {
            mWaitsForOtherShards = false;
        }
    }

    ShardRecordDraft draft() {
        return mDraft;
    }

    /** Returns whether an allowance waits for the records of other shards. */
    boolean waitsForOtherShards() {
        return mWaitsForOtherShards;
    }

    // A load is cancelled only if this holder decided it and never sent its order. Any other order
    // may be in transit.
    private void cancelUnrequestedLoads(ShardState state) {
        for (Placement placement : mDraft.placements()) {
            ModelName name = UnloadPlanner.modelName(placement);
            boolean requested =
                    state.demand()
                            .requestDeadlines()
                            .keySet()
                            .exists(n -> n.equals(name) || n.base().equals(name));
            if (placement.stage() == PlacementStage.LOAD_ORDERED
                    && placement.term() == state.lease().term()
                    && state.orderLog().knownSince().containsKey(placement.decision())
                    && !state.orderLog().sentAt().containsKey(placement.decision())
                    && !requested) {
                mDraft.replace(placement, java.util.Optional.empty());
                mDraft.addEvent(
                        ShardEventKind.LOAD_CANCELLED,
                        placement,
                        "no request waits for it any more");
            }
        }
    }
}
