package org.vanillaslip.internal.placement;

import java.util.HashSet;
import java.util.Set;
import org.vanillaslip.Model;
import org.vanillaslip.ModelName;

/**
 * Adjusts the replica allowances to the budgets. An allowance is reduced at once, but raised only
 * after all other shards have confirmed the configuration.
 */
final class AllowancePlanner {

    private final ShardRecordDraft mDraft;
    private final ShardState mState;

    AllowancePlanner(ShardRecordDraft draft, ShardState state) {
        mDraft = draft;
        mState = state;
    }

    /** Adjusts the allowances and returns whether one of them waits for other shards. */
    boolean apply() {
        Set<String> names = new HashSet<>(mDraft.modelsWithAllowance());
        for (ModelName requested : mState.demand().requestDeadlines().keySet()) {
            names.add(requested.model());
        }
        boolean waiting = false;
        for (String name : names) {
            waiting |= apply(name);
        }
        return waiting;
    }

    private boolean apply(String name) {
        int budget = mDraft.context().model(name).map(this::budget).orElse(0);
        int allowance = mDraft.allowance(name);
        if (budget <= allowance) {
            // Loaded replicas count until a report no longer lists them.
            mDraft.setAllowance(name, Math.max(budget, mDraft.replicas(name)));
            return false;
        }
        boolean confirmed =
                mDraft.context()
                        .model(name)
                        .filter(model -> confirmedByOtherShards(model))
                        .isPresent();
        if (confirmed) {
            mDraft.setAllowance(name, budget);
        }
        return !confirmed;
    }

    private int budget(Model model) {
        return mDraft.replicaBudget().of(model, mDraft.context().shard());
    }

    private boolean confirmedByOtherShards(Model model) {
        return mDraft.replicaBudget()
                .confirmedByOtherShards(model, mDraft.context().shard(), mState.otherShards());
    }
}
