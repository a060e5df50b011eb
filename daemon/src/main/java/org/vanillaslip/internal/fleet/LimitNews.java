package org.vanillaslip.internal.fleet;

import java.util.OptionalDouble;

/**
 * What a host has heard of the limit of a server.
 *
 * @param startedAtMillis start time of the server process that the news is about
 * @param requestsPerSecond empty if the server no longer names a limit
 * @param ageMillis time since the answer with the limit; once it has ended, since the request whose
 *     answer named none
 */
record LimitNews(
        String instance, long startedAtMillis, OptionalDouble requestsPerSecond, long ageMillis) {

    /** Returns what this host knows of the limit of the server. */
    static LimitNews of(FleetMember server, long nowNanos) {
        return new LimitNews(
                server.instance(),
                server.registered().startedAtMillis(),
                server.limit().requestsPerSecond(),
                server.limit().ageNanos(nowNanos) / 1_000_000);
    }

    /** Returns whether the news is about this process of the server. */
    boolean isAbout(FleetMember server) {
        return server.instance().equals(instance)
                && server.registered().startedAtMillis() == startedAtMillis;
    }
}
