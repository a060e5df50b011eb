package org.vanillaslip.internal.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.OptionalLong;
import org.vanillaslip.FailureDomain;

/**
 * Section {@code [host]}.
 *
 * @param gatewayAddress address on which callers are served
 * @param peerAddress address on which other hosts connect
 * @param shutdownDelay time between turning unready and refusing new requests
 * @param shutdownTimeout longest time of a planned stop after the delay
 * @param randomSeed seed of all random choices; empty means a new seed at each start
 */
public record HostSettings(
        String name,
        FailureDomain failureDomain,
        InetSocketAddress gatewayAddress,
        InetSocketAddress peerAddress,
        Duration shutdownDelay,
        Duration shutdownTimeout,
        OptionalLong randomSeed) {}
