package org.vanillaslip.internal.routing;

import java.time.Duration;
import java.util.Optional;
import org.vanillaslip.BackendServer;

/**
 * A backend server that could take a request.
 *
 * @param excluded whether it is drained, leaving or was tried before
 * @param ownInFlight requests of this host that it runs
 * @param reportedRequests requests that its lagging report names, running and waiting
 * @param uptime time since its start, empty when it is not known
 */
public record Candidate(
        BackendServer server,
        String incarnation,
        boolean excluded,
        int ownInFlight,
        int reportedRequests,
        Optional<Duration> uptime) {

    /** Returns the load used for comparisons; the report lags, so own requests count at least. */
    public int load() {
        return ownInFlight + Math.max(reportedRequests, ownInFlight);
    }

    /** Returns whether the server is still starting up, or may be. */
    public boolean needsSlowStartSlot() {
        return uptime.map(time -> time.compareTo(server.slowStart().ramp()) < 0).orElse(true);
    }

    /** Returns whether the server can take one more request of this host. */
    public boolean hasCapacity() {
        return !excluded && ownInFlight < server.slowStart().fullConcurrency();
    }
}
