package org.vanillaslip.internal.placement;

import java.time.Duration;
import org.vanillaslip.internal.lease.LeaseTimes;

/**
 * Settings of placement decisions.
 *
 * @param orderRetry time after which an order without reported outcome is sent again
 * @param reportAge age at which a report no longer supports a decision
 * @param offlineLoads loads in the offline placement set per server
 */
public record PlacementSettings(
        LeaseTimes lease,
        WeightStoreQueue weightStore,
        KeepAlivePolicy keepAlive,
        Duration orderRetry,
        Duration reportAge,
        int offlineLoads) {}
