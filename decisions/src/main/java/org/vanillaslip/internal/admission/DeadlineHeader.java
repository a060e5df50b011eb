package org.vanillaslip.internal.admission;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;

/** The request header with which a caller shortens the deadline of the route. */
public final class DeadlineHeader {

    /** Name of the header in lower case. */
    public static final String NAME = "x-request-deadline-millis";

    private DeadlineHeader() {}

    /** Returns the shorter of the route's deadline and the header's value. */
    public static Either<Refusal, Duration> parse(Optional<String> value, Duration routeDeadline) {
        if (value.isEmpty()) {
            return Either.right(routeDeadline);
        }
        try {
            long millis = Long.parseLong(value.get().trim());
            if (millis > 0) {
                long shorterMillis = Math.min(millis, routeDeadline.toMillis());
                return Either.right(Duration.ofMillis(shorterMillis));
            }
        } catch (NumberFormatException malformed) {
            // Refused below, like numbers that are not positive.
        }
        return Either.left(Refusal.of(ResultCode.INVALID_DEADLINE, NAME));
    }
}
