package org.vanillaslip.internal.proofs.processes;

import java.util.Optional;

/**
 * What a caller got.
 *
 * @param status HTTP status
 * @param retryAfter the header Retry-After
 */
public record CallerResponse(int status, String body, Optional<String> retryAfter) {

    /** Returns whether the body is a complete event stream. */
    public boolean isCompleteStream() {
        return status == 200 && body.stripTrailing().endsWith("data: [DONE]");
    }
}
