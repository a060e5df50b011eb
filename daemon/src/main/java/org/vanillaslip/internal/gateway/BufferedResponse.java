package org.vanillaslip.internal.gateway;

import java.util.Map;

/** A complete HTTP response that is held in memory until it is written to the caller. */
record BufferedResponse(int status, String contentType, byte[] body, Map<String, String> headers) {

    static BufferedResponse of(int status, String contentType, byte[] body) {
        return new BufferedResponse(status, contentType, body, Map.of());
    }
}
