package org.vanillaslip.internal.gateway;

import java.time.Duration;
import java.util.Map;
import org.vanillaslip.Configuration;
import org.vanillaslip.Route;
import org.vanillaslip.internal.admission.Caller;
import org.vanillaslip.internal.admission.CredentialFilter;

/**
 * A request of a caller after authentication and routing.
 *
 * @param query raw query string, empty if there is none
 * @param headers header values by name in lower case
 * @param body request body without the caller's API key
 * @param configuration configuration that was in force when the request was accepted
 * @param deadlineNanos deadline on the clock of the decision loop
 */
record CallerRequest(
        String id,
        String method,
        String query,
        Map<String, String> headers,
        byte[] body,
        Configuration configuration,
        Route route,
        Caller caller,
        CredentialFilter credentialFilter,
        long deadlineNanos,
        RequestSendState sendState,
        RequestMetrics metrics) {

    /** Returns the time to the deadline, at least one millisecond. */
    Duration timeToDeadline(long nowNanos) {
        return Duration.ofNanos(Math.max(1_000_000, deadlineNanos - nowNanos));
    }

    /** Returns the error for a request that was answered or cancelled before it was sent. */
    RefusedException notSentException() {
        return new RefusedException(sendState.deadlineRefusal());
    }
}
