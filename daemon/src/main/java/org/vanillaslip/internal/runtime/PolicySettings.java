package org.vanillaslip.internal.runtime;

import java.time.Duration;
import org.vanillaslip.internal.gateway.GatewaySettings;
import org.vanillaslip.internal.lease.LeaseTimes;
import org.vanillaslip.internal.placement.KeepAlivePolicy;
import org.vanillaslip.internal.placement.PlacementSettings;
import org.vanillaslip.internal.placement.WeightStoreLimits;
import org.vanillaslip.internal.queue.QueueLimits;
import org.vanillaslip.internal.settings.Settings;

/** Converts the settings file into the settings of placement and of the gateway. */
final class PolicySettings {

    private static final int MAX_BUFFERED_RESPONSE_BYTES = 512 * 1024;

    /** Idle time of an accelerator that costs as much as one cold start at equal weights. */
    private static final Duration COLD_START_COST = Duration.ofMinutes(1);

    private static final Duration DEFAULT_KEEP_ALIVE = Duration.ofMinutes(5);

    /** Hosts report arrivals every 2 s; a shorter time unloaded models under steady traffic. */
    private static final Duration MIN_KEEP_ALIVE = Duration.ofSeconds(10);

    private static final Duration ORDER_RETRY_INTERVAL = Duration.ofSeconds(1);
    private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(3);
    private static final int OFFLINE_LOADS_PER_SERVER = 2;

    private PolicySettings() {}

    static PlacementSettings placement(Settings settings) {
        var placement = settings.placement();
        return new PlacementSettings(
                new LeaseTimes(
                        placement.lease(),
                        LeaseTimes.STANDARD.maxClockDrift(),
                        LeaseTimes.STANDARD.rankDelay()),
                new WeightStoreLimits(
                        placement.weightStoreLoadsPerSecond(),
                        placement.weightStoreParallelLoads(),
                        placement.adapterLoadsInFlight()),
                new KeepAlivePolicy(
                        placement.idleWeight(),
                        COLD_START_COST,
                        DEFAULT_KEEP_ALIVE,
                        MIN_KEEP_ALIVE),
                ORDER_RETRY_INTERVAL,
                MAX_REPORT_AGE,
                OFFLINE_LOADS_PER_SERVER);
    }

    static GatewaySettings gateway(Settings settings) {
        var host = settings.host();
        var admission = settings.admission();
        return new GatewaySettings(
                host.gatewayAddress().getHostString(),
                host.gatewayAddress().getPort(),
                host.name(),
                host.failureDomain().name(),
                admission.maxBodyBytes(),
                MAX_BUFFERED_RESPONSE_BYTES,
                new QueueLimits(
                        admission.maxWaitingRequests(),
                        admission.maxWaitingBytes(),
                        admission.maxWaitingRequestsPerWorkspace(),
                        admission.maxWaitingBytes() / 2),
                admission.maxConfigurationAge().orElse(Duration.ZERO),
                host.shutdownDelay(),
                host.shutdownTimeout());
    }
}
