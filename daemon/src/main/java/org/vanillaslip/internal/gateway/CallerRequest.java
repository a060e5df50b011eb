package org.vanillaslip.internal.gateway;

import java.time.Duration;
import java.util.Map;
import org.vanillaslip.Configuration;
import org.vanillaslip.Route;
import org.vanillaslip.internal.admission.Caller;
import org.vanillaslip.internal.admission.CredentialFilter;

/**
 * An authenticated request.
 *
 * @param headers names in lower case
 * @param query raw query, may be empty
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

    /** Returns the time until the deadline, at least one millisecond. */
    Duration timeToDeadline(long nowNanos) {
        return Duration.ofNanos(Math.max(1_000_000, deadlineNanos - nowNanos));
    }

    /** Returns the end of a request whose caller got an answer or left before it was sent. */
    RefusedException notSentException() {
        return new RefusedException(sendState.deadlineRefusal());
    }
}
