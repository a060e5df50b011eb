package org.vanillaslip.internal.serving;

import java.time.Duration;

/**
 * Size of a model and the time to load it.
 *
 * @param adapters number of adapters of this model
 * @param fromStore time of a load from the weight store while few loads run
 * @param fromDisk time of a load from the server's own disk
 * @param fromMemory time of a load from the server's main memory
 */
public record ModelProfile(
        String name,
        double weightsMegabytes,
        int adapters,
        double adapterMegabytes,
        Duration fromStore,
        Duration fromDisk,
        Duration fromMemory) {}
