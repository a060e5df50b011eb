package org.vanillaslip.internal.duty;

import java.util.Map;
import reactor.core.publisher.Mono;

/**
 * Calls to the platform that one host at a time may make. An implementation signals no errors: each
 * call ends with an answer within a few seconds.
 */
public interface DutyCalls {

    /**
     * Reports the calls of each workspace that servers began in a window.
     *
     * @param window number of the window since the start of 1970
     */
    Mono<DutyAnswer> reportUsage(DutyRight right, long window, Map<String, Long> callsByWorkspace);

    /** Orders the number of servers of a pool in a failure domain. */
    Mono<DutyAnswer> orderServers(DutyRight right, String pool, String failureDomain, int servers);
}
