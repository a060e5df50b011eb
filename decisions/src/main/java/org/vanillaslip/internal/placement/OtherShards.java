package org.vanillaslip.internal.placement;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.vanillaslip.Model;

/**
 * The last known records of the other shards, and the replica budgets that they have to confirm.
 *
 * @param records records by shard, as last listed
 * @param budgetVersions configuration version in which this host first saw a model's current
 *     replica counts
 * @param budgets the replica counts of that version, by model and failure domain
 * @param listRequestedNanos when the records were last requested
 */
public record OtherShards(
        Map<String, ShardRecord> records,
        Map<String, Long> budgetVersions,
        Map<String, java.util.Map<String, Integer>> budgets,
        long listRequestedNanos) {

    /** Returns the state of a host that has not listed the shards. */
    static OtherShards unknown() {
        return new OtherShards(
                HashMap.empty(), HashMap.empty(), HashMap.empty(), Long.MIN_VALUE / 2);
    }

    /** Records the configuration version in which the replica counts of the model changed. */
    OtherShards withBudgetOf(Model model, long configurationVersion) {
        if (budgets.get(model.name()).contains(model.replicas())) {
            return this;
        }
        return new OtherShards(
                records,
                budgetVersions.put(model.name(), configurationVersion),
                budgets.put(model.name(), model.replicas()),
                listRequestedNanos);
    }

    OtherShards withRecords(Map<String, ShardRecord> newRecords) {
        return new OtherShards(newRecords, budgetVersions, budgets, listRequestedNanos);
    }

    OtherShards withListRequested(long requestedNanos) {
        return new OtherShards(records, budgetVersions, budgets, requestedNanos);
    }
}
