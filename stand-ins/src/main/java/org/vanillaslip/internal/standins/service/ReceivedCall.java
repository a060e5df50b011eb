package org.vanillaslip.internal.standins.service;

import java.util.Map;

/**
 * A call as it arrived, so that tests can look for keys in it.
 *
 * @param uri path with the raw query
 */
public record ReceivedCall(String method, String uri, Map<String, String> headers, String body) {}
