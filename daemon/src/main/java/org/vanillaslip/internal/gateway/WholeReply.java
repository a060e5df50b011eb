package org.vanillaslip.internal.gateway;

import java.util.Map;

/** A complete answer to a caller. */
record WholeReply(int status, String contentType, byte[] body, Map<String, String> headers) {

    static WholeReply of(int status, String contentType, byte[] body) {
        return new WholeReply(status, contentType, body, Map.of());
    }
}
