package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.OptionalLong;
import org.vanillaslip.FailureDomain;

/**
 * Registration of a backend server.
 *
 * @param instance name of the server, which usually changes with each start
 * @param startedAtMillis time of the last start, in milliseconds of the server's clock
 * @param requestSlots number of requests that the server runs in parallel
 * @param leaving whether the server has announced its shutdown
 * @param stopsInMillis time until the announced shutdown
 * @param remainingColdMillis remaining warm-up time at registration; until it has passed, the
 *     server is cold and may receive calls only at a limited rate
 */
public record RegisteredServer(
        String instance,
        long startedAtMillis,
        String pool,
        String address,
        FailureDomain failureDomain,
        int requestSlots,
        boolean leaving,
        OptionalLong stopsInMillis,
        long remainingColdMillis,
        ServerModelState modelState) {

    /** Longer than any server warms up, and short enough for any unit of time. */
    public static final Duration MAX_REMAINING_COLD = Duration.ofDays(1);

    public RegisteredServer {
        if (remainingColdMillis < 0 || remainingColdMillis > MAX_REMAINING_COLD.toMillis()) {
            throw new IllegalArgumentException(
                    "remaining cold time is "
                            + remainingColdMillis
                            + " ms, not between 0 and "
                            + MAX_REMAINING_COLD.toMillis());
        }
    }

    /** Returns this registration with an announced shutdown. */
    public RegisteredServer asLeaving() {
        return new RegisteredServer(
                instance,
                startedAtMillis,
                pool,
                address,
                failureDomain,
                requestSlots,
                true,
                stopsInMillis,
                remainingColdMillis,
                modelState);
    }
}
