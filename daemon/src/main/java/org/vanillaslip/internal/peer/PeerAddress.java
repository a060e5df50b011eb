package org.vanillaslip.internal.peer;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Parses addresses in the form {@code ip:port}. */
final class PeerAddress {

    private PeerAddress() {}

    static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return Optional.of(new InetSocketAddress(text.substring(0, colon), port));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }
}
