package org.vanillaslip.internal.backend.forward;

import java.util.Map;

/**
 * A call of a plain service, already without the caller's key.
 *
 * @param query without the question mark; may be empty
 */
public record ServiceCall(
        String requestId,
        String method,
        String path,
        String query,
        Map<String, String> headers,
        byte[] body) {}
