package org.vanillaslip.internal.standins.service;

import java.util.Map;

/**
 * A received call; tests search it for API keys.
 *
 * @param uri path and query, not decoded
 */
public record ReceivedCall(String method, String uri, Map<String, String> headers, String body) {}
