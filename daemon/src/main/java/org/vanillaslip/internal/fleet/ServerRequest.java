package org.vanillaslip.internal.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A call's request for a server.
 *
 * @param crashSubjects what may crash a server that runs the call
 * @param sharedParts parts of the prompt that calls of other sessions may share
 * @param promptPart part of the prompt that the call shares with other calls of its session
 * @param failedServers servers on which the call has failed
 */
public record ServerRequest(
        String callId,
        CallTarget target,
        List<String> crashSubjects,
        List<String> sharedParts,
        Optional<String> promptPart,
        Set<String> failedServers) {}
