package org.vanillaslip;

import java.time.Duration;
import java.util.Optional;

/**
 * The reason for which a request is answered without a response of a backend server.
 *
 * @param detail the rejected value or the place of the failure; never contains a key
 * @param retryAfter delay after which the caller may retry
 */
public record Refusal(ResultCode code, String detail, Optional<Duration> retryAfter) {

    /** Creates a refusal without a retry delay. */
    public static Refusal of(ResultCode code, String detail) {
        return new Refusal(code, detail, Optional.empty());
    }

    /** Creates a refusal with a retry delay. */
    public static Refusal retryable(ResultCode code, String detail, Duration retryAfter) {
        return new Refusal(code, detail, Optional.of(retryAfter));
    }
}
