package org.vanillaslip;

import java.time.Duration;
import java.util.Optional;

/**
 * Why a request got no answer from a backend server.
 *
 * @param detail the offending value or place, without any key
 * @param retryAfter when the caller should come back
 */
public record Refusal(ResultCode code, String detail, Optional<Duration> retryAfter) {

    /** Creates a refusal without a time to come back. */
    public static Refusal of(ResultCode code, String detail) {
        return new Refusal(code, detail, Optional.empty());
    }

    /** Creates a refusal that names the time to come back. */
    public static Refusal retryable(ResultCode code, String detail, Duration retryAfter) {
        return new Refusal(code, detail, Optional.of(retryAfter));
    }
}
