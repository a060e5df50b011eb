package org.vanillaslip.internal.routing;

import java.time.Duration;
import java.util.Optional;
import org.vanillaslip.BackendServer;

/**
 * A backend server that could take a request.
 *
 * @param excluded whether the server is drained, is leaving or was already tried for the request
 * @param ownInFlight requests of this host that run on the server
 * @param reportedRequests running and waiting requests in the last report of the server, which lags
 * @param uptime time since the server started, empty when it is not known
 */
public record Candidate(
        BackendServer server,
        String incarnation,
        boolean excluded,
        int ownInFlight,
        int reportedRequests,
        Optional<Duration> uptime) {

    /**
     * Returns the load by which servers are compared. The report lags, so the reported number is
     * raised to the number of requests of this host if it is lower.
     */
    public int load() {
        return ownInFlight + Math.max(reportedRequests, ownInFlight);
    }

    /** Returns whether the server is in its slow start, or may be because its uptime is unknown. */
    public boolean needsSlowStartSlot() {
        return uptime.map(time -> time.compareTo(server.slowStart().ramp()) < 0).orElse(true);
    }

    /** Returns whether this host may send the server one more request. */
    public boolean hasCapacity() {
        return !excluded && ownInFlight < server.slowStart().fullConcurrency();
    }
}
