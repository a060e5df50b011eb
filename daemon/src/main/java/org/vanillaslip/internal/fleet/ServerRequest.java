package org.vanillaslip.internal.fleet;

import java.util.Optional;
import java.util.Set;

/**
 * A call that looks for a server.
 *
 * @param promptPart prompt part that the call shares with other calls of its session
 * @param failedServers servers that have failed the call
 */
public record ServerRequest(
        String callId, CallTarget target, Optional<String> promptPart, Set<String> failedServers) {}
