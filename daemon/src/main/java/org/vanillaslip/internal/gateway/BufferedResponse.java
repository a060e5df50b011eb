package org.vanillaslip.internal.gateway;

import java.util.Map;

/** A complete answer to a caller. */
record BufferedResponse(int status, String contentType, byte[] body, Map<String, String> headers) {

    static BufferedResponse of(int status, String contentType, byte[] body) {
        return new BufferedResponse(status, contentType, body, Map.of());
    }
}
