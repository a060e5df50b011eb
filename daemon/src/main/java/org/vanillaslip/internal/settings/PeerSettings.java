package org.vanillaslip.internal.settings;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * Section {@code [peers]}.
 *
 * @param bootstrap peer addresses by host name, used before the platform's host list is read
 */
public record PeerSettings(Map<String, InetSocketAddress> bootstrap) {

    /** Copies the map so that the record is immutable. */
    public PeerSettings {
        bootstrap = Map.copyOf(bootstrap);
    }
}
