package org.vanillaslip;

import java.util.Map;

/**
 * A base model that may be loaded.
 *
 * @param version checkpoint version to load
 * @param memoryBytes memory that one replica takes
 * @param adapterMemoryBytes memory that each adapter of this model takes on top of a replica
 * @param replicas most replicas by failure domain name; the sum is what was decided
 */
public record Model(
        String name,
        String version,
        String pool,
        long memoryBytes,
        long adapterMemoryBytes,
        Map<String, Integer> replicas,
        LoadTimes loadTimes)
        implements ConfigurationItem {

    /** Copies the replica map so that the record is immutable. */
    public Model {
        replicas = Map.copyOf(replicas);
    }
}
