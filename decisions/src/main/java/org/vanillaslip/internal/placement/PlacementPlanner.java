package org.vanillaslip.internal.placement;

import org.vanillaslip.ModelName;

/** Works out the next record from the stored one, the reports and the demand. */
final class PlacementPlanner {

    private final ShardRecordDraft mDraft;
    private final boolean mWaitsForOtherShards;

    PlacementPlanner(ShardState state, ShardContext context, long nowNanos) {
        mDraft = new ShardRecordDraft(context, state.record());
        ReportReconciler.apply(mDraft, state);
        // A holder with an older configuration than its predecessor would undo its decisions.
        boolean current =
                context.configuration().version() >= state.record().configurationVersion();
        if (current) {
            cancelUnrequestedLoads(state);
            UnloadPlanner unloads = new UnloadPlanner(mDraft, state, nowNanos);
            unloads.apply();
            mWaitsForOtherShards = new AllowancePlanner(mDraft, state).apply();
            LoadTargetSelector choice = new LoadTargetSelector(state, context, nowNanos);
            new LoadPlanner(mDraft, state, choice, unloads, nowNanos).apply();
            new OfflineLoadPlanner(mDraft, state).apply();
        } else {
            mWaitsForOtherShards = false;
        }
    }

    ShardRecordDraft draft() {
        return mDraft;
    }

    /** Returns whether an allowance has to wait for the records of other shards. */
    boolean waitsForOtherShards() {
        return mWaitsForOtherShards;
    }

    // Only a decision of this holder that it never sent is known not to be under way.
    private void cancelUnrequestedLoads(ShardState state) {
        for (Placement placement : mDraft.placements()) {
            ModelName name = UnloadPlanner.modelName(placement);
            boolean wanted =
                    state.demand()
                            .requestDeadlines()
                            .keySet()
                            .exists(n -> n.equals(name) || n.base().equals(name));
            if (placement.stage() == PlacementStage.LOAD_ORDERED
                    && placement.term() == state.lease().term()
                    && state.orderLog().knownSince().containsKey(placement.decision())
                    && !state.orderLog().sentAt().containsKey(placement.decision())
                    && !wanted) {
                mDraft.replace(placement, java.util.Optional.empty());
                mDraft.addEvent(ShardEventKind.LOAD_CANCELLED, placement, "nobody waits any more");
            }
        }
    }
}
