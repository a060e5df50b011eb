package org.vanillaslip.internal.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.vanillaslip.Workspace;

/**
 * Values that this host adds to the headers of a request to a backend server.
 *
 * @param expectedInstance instance id of the server to which the request is addressed
 * @param workspace empty on a route that allows anonymous calls
 * @param priority 0 is the most urgent
 * @param resumeAfter id of the last event that the caller has received
 */
public record OutgoingCall(
        Duration timeLeft,
        String expectedInstance,
        Optional<Workspace> workspace,
        int priority,
        boolean toModelEngine,
        OptionalLong resumeAfter) {}
