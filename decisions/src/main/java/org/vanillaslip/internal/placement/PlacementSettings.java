package org.vanillaslip.internal.placement;

import java.time.Duration;
import org.vanillaslip.internal.lease.LeaseTimes;

/**
 * Settings of placement decisions.
 *
 * @param orderRetryInterval time after which an order without reported outcome is sent again
 * @param maxReportAge age at which a report no longer supports a decision
 * @param offlineLoadsPerServer loads in the offline placement set per server
 */
public record PlacementSettings(
        LeaseTimes lease,
        WeightStoreLimits weightStore,
        KeepAlivePolicy keepAlive,
        Duration orderRetryInterval,
        Duration maxReportAge,
        int offlineLoadsPerServer) {}
