package org.vanillaslip.internal.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.OptionalLong;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;

/**
 * Section {@code [host]}.
 *
 * @param gatewayAddress address on which the host serves callers
 * @param peerAddress address on which the host accepts connections from other hosts
 * @param shutdownDelay time between failing the readiness check and refusing new requests
 * @param shutdownTimeout maximum duration of a graceful shutdown after the delay
 * @param linkMegabits bandwidth of the network link in Mbit/s; 0 if unknown
 * @param randomSeed seed of all random choices; if empty, each start uses a new seed
 */
public record HostSettings(
        String name,
        FailureDomain failureDomain,
        InetSocketAddress gatewayAddress,
        InetSocketAddress peerAddress,
        Duration shutdownDelay,
        Duration shutdownTimeout,
        double linkMegabits,
        OptionalLong randomSeed) {

    /** Returns this host as other hosts see it while it runs. */
    public Host toHost() {
        String address = peerAddress.getHostString() + ":" + peerAddress.getPort();
        return new Host(name, failureDomain, address, false, linkMegabits);
    }
}
