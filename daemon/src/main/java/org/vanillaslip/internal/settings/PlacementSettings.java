package org.vanillaslip.internal.settings;

import java.time.Duration;

/**
 * Section {@code [placement]}.
 *
 * @param idleWeight weight of idle accelerator time relative to cold starts, from 0 to 1
 */
public record PlacementSettings(
        double idleWeight,
        double weightStoreLoadsPerSecond,
        int weightStoreParallelLoads,
        int adapterLoadsInFlight,
        Duration lease) {}
