package org.vanillaslip.internal.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.vanillaslip.Workspace;

/**
 * What this host adds to a request on its way to a backend server.
 *
 * @param expectedInstance the server that the request is meant for
 * @param workspace empty on an open route
 * @param priority 0 is the most urgent
 * @param resumeAfter last event that the caller has already
 */
public record OutgoingCall(
        Duration timeLeft,
        String expectedInstance,
        Optional<Workspace> workspace,
        int priority,
        boolean toModelEngine,
        OptionalLong resumeAfter) {}
