package org.vanillaslip.internal.serving;

import java.time.Duration;

/**
 * Size of a model and the time to load it.
 *
 * @param adapterCount number of adapters of this model
 * @param storeLoadTime time of a load from the weight store while few loads run
 * @param diskLoadTime time of a load from the server's own disk
 * @param memoryLoadTime time of a load from the server's main memory
 */
public record ModelProfile(
        String name,
        double weightsMegabytes,
        int adapterCount,
        double adapterMegabytes,
        Duration storeLoadTime,
        Duration diskLoadTime,
        Duration memoryLoadTime) {}
