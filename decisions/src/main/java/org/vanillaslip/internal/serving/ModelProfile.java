package org.vanillaslip.internal.serving;

import java.time.Duration;

/**
 * Size and load times of a model.
 *
 * @param adapterCount number of adapters of this model
 * @param storeLoadTime time of a load from the weight store at full speed
 * @param diskLoadTime time of a load from the server's disk
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
