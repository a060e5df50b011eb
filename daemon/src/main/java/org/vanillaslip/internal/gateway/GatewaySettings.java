package org.vanillaslip.internal.gateway;

import java.time.Duration;
import org.vanillaslip.internal.queue.QueueLimits;

/**
 * Settings of the gateway.
 *
 * @param host address to listen on
 * @param port port to listen on; 0 takes a free one
 * @param hostName name of this host in answers and logs
 * @param failureDomain failure domain of this host
 * @param maxRequestBodyBytes most bytes of a request body
 * @param maxBufferedResponseBytes most bytes of an answer that is held as a whole
 * @param maximumConfigurationAge older configurations refuse keyed requests; zero is off
 * @param shutdownDelay time with readiness false before new requests are refused
 * @param shutdownTimeout longest planned stop, delay included
 */
public record GatewaySettings(
        String host,
        int port,
        String hostName,
        String failureDomain,
        int maxRequestBodyBytes,
        int maxBufferedResponseBytes,
        QueueLimits queueLimits,
        Duration maximumConfigurationAge,
        Duration shutdownDelay,
        Duration shutdownTimeout) {

    /** Returns usual settings for the given address. */
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
