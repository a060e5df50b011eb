package org.vanillaslip.internal.fleet;

import java.util.OptionalLong;

/**
 * Load report of a server. Its values lag by a few hundred milliseconds.
 *
 * @param running number of running requests
 * @param queued number of requests in the server's queue
 * @param startedAtMillis start time of the server process that reports, if it states it
 */
public record ServerLoadReport(
        ServerModelState modelState, int running, int queued, OptionalLong startedAtMillis) {

    /** Creates the report of a server that does not state its start time. */
    public ServerLoadReport(ServerModelState modelState, int running, int queued) {
        this(modelState, running, queued, OptionalLong.empty());
    }

    /** Returns whether the report may be about the server process that started at the time. */
    public boolean mayDescribe(long processStartedAtMillis) {
        return startedAtMillis.orElse(processStartedAtMillis) == processStartedAtMillis;
    }
}
