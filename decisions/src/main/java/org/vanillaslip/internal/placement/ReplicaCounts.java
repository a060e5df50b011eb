package org.vanillaslip.internal.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Counts the replicas of all base models that are loaded or may still be loaded, in one pass. */
final class ReplicaCounts {

    private record Replica(String server, String model, String version) {}

    private final Map<String, Integer> mReplicas = new HashMap<>();

    ReplicaCounts(List<Placement> placements, List<OfflineLoad> offline) {
        Set<Replica> placed = new HashSet<>();
        for (Placement placement : placements) {
            if (placement.adapter().isEmpty()) {
                mReplicas.merge(placement.model(), 1, Integer::sum);
                placed.add(new Replica(placement.server(), placement.model(), placement.version()));
            }
        }
        for (OfflineLoad load : offline) {
            if (!placed.contains(new Replica(load.server(), load.model(), load.version()))) {
                mReplicas.merge(load.model(), 1, Integer::sum);
            }
        }
    }

    int of(String model) {
        return mReplicas.getOrDefault(model, 0);
    }
}
