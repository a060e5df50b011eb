package org.vanillaslip.internal.serving;

import java.util.Map;

/**
 * Capacity of the model engines of a pool.
 *
 * @param requestSlots number of requests that one engine runs in parallel
 * @param weightsMegabytes memory of one engine for the weights of models and adapters
 * @param adapterSlots maximum number of adapters that are loaded on one engine
 * @param storeLoadsPerSecond rate at which loads from the weight store may start, over all engines
 * @param models models by name, in the order of the configuration
 */
public record EngineProfile(
        int requestSlots,
        double weightsMegabytes,
        int adapterSlots,
        double storeLoadsPerSecond,
        Map<String, ModelProfile> models) {}
