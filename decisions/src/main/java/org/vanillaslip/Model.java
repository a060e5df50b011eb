package org.vanillaslip;

import java.util.Map;

/**
 * A base model that backend servers can load.
 *
 * @param version version of the checkpoint to load
 * @param pool pool of model engines that may load the model
 * @param memoryBytes accelerator memory for one replica
 * @param adapterMemoryBytes additional accelerator memory for each loaded adapter
 * @param replicas maximum number of replicas by failure domain name; operators decide on the sum
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

    /** Copies the map to make the record immutable. */
    public Model {
        replicas = Map.copyOf(replicas);
    }
}
