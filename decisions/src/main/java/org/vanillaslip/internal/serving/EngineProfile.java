package org.vanillaslip.internal.serving;

import java.util.Map;

/**
 * What the model engines of a pool can hold.
 *
 * @param requestSlots requests that one engine runs at once
 * @param weightsMegabytes memory of one engine for models and adapters
 * @param adapterSlots adapters that one engine holds
 * @param storeLoadsPerSecond load starts that the weight store allows over all engines
 * @param models by name, in the order of the configuration
 */
public record EngineProfile(
        int requestSlots,
        double weightsMegabytes,
        int adapterSlots,
        double storeLoadsPerSecond,
        Map<String, ModelProfile> models) {}
