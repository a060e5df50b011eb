package org.vanillaslip.internal.backend.forward;

import java.util.Map;

/**
 * A request to a plain service; the caller's API key is already removed.
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
