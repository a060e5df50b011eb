package org.vanillaslip.internal.proofs.processes;

import java.util.Optional;

/**
 * The response to a call.
 *
 * @param status HTTP status
 * @param retryAfter value of the Retry-After header
 */
public record CallerResponse(int status, String body, Optional<String> retryAfter) {

    /** Returns whether the call succeeded with an event stream that has its end marker. */
    public boolean isCompleteStream() {
        return status == 200 && body.stripTrailing().endsWith("data: [DONE]");
    }
}
