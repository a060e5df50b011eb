package org.vanillaslip.internal.gateway;

import java.time.Duration;
import org.vanillaslip.internal.queue.QueueLimits;

/**
 * Settings of the gateway.
 *
 * @param host address to listen on
 * @param port port to listen on; 0 selects a free port
 * @param hostName name of this host in responses and logs
 * @param failureDomain failure domain of this host
 * @param maxRequestBodyBytes maximum size of a request body
 * @param maxResponseBytes maximum size of a response that is buffered
 * @param maximumConfigurationAge requests with a key are refused when the configuration is older;
 *     zero disables the check
 * @param shutdownDelay time between failing the readiness check and refusing new requests
 * @param shutdownTimeout maximum duration of a graceful shutdown, including the delay
 */
public record GatewaySettings(
        String host,
        int port,
        String hostName,
        String failureDomain,
        int maxRequestBodyBytes,
        int maxResponseBytes,
        QueueLimits queueLimits,
        Duration maximumConfigurationAge,
        Duration shutdownDelay,
        Duration shutdownTimeout) {

    /** Returns the default settings for the given address. */
    public static GatewaySettings defaults(
            String host, int port, String hostName, String failureDomain) {
        return new GatewaySettings(
                host,
                port,
                hostName,
                failureDomain,
                1 << 20,
                512 << 10,
                QueueLimits.defaults(),
                Duration.ZERO,
                Duration.ofSeconds(5),
                Duration.ofSeconds(60));
    }
}
