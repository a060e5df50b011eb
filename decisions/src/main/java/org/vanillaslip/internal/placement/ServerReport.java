package org.vanillaslip.internal.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A status report of a backend server.
 *
 * @param checkpoints location of local checkpoints by model: {@code memory} or {@code disk}
 * @param refusedDecisions decisions that the server has refused in this incarnation
 * @param requestedNanos when this host sent the status request
 */
public record ServerReport(
        String server,
        String incarnation,
        long highestTerm,
        long memoryUsedBytes,
        List<ReportedModel> models,
        Map<String, String> checkpoints,
        Set<Long> refusedDecisions,
        long requestedNanos) {

    /** Copies the collections so that the record is immutable. */
    public ServerReport {
        models = List.copyOf(models);
        checkpoints = Map.copyOf(checkpoints);
        refusedDecisions = Set.copyOf(refusedDecisions);
    }
}
