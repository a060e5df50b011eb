package org.vanillaslip.internal.placement;

import java.time.Duration;
import org.vanillaslip.internal.lease.LeaseTimes;

/**
 * Settings of placement decisions.
 *
 * @param orderRetryInterval time after which an order without a reported outcome is sent again
 * @param maxReportAge age from which a report is no longer used for decisions
 * @param offlineLoadsPerServer largest number of loads in the offline placement set of a server
 */
public record PlacementSettings(
        LeaseTimes lease,
        WeightStoreLimits weightStore,
        KeepAlivePolicy keepAlive,
        Duration orderRetryInterval,
        Duration maxReportAge,
        int offlineLoadsPerServer) {}
