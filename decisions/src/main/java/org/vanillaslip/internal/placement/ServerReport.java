package org.vanillaslip.internal.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A status report of a backend server.
 *
 * @param checkpoints place of locally held checkpoints by model: {@code memory} or {@code disk}
 * @param refused decisions that the server has refused in this incarnation
 * @param askedNanos when this host sent the status request
 */
public record ServerReport(
        String server,
        String incarnation,
        long highestTerm,
        long memoryUsedBytes,
        List<ReportedModel> residents,
        Map<String, String> checkpoints,
        Set<Long> refused,
        long askedNanos) {

    /** Copies the collections so that the record is immutable. */
    public ServerReport {
        residents = List.copyOf(residents);
        checkpoints = Map.copyOf(checkpoints);
        refused = Set.copyOf(refused);
    }
}
