package org.vanillaslip.internal.serving;

import java.time.Duration;
import java.util.List;

/**
 * A pass-through route, whose calls are forwarded unchanged.
 *
 * @param host value of the caller's {@code Host} header, in lower case and without a port
 * @param pathPrefix prefix of the path; the longest matching prefix of a host is used
 * @param timeout maximum time from the arrival of a call to its deadline; callers may request less
 * @param objective target for the time until the answer, or until its first event
 * @param eventGapObjective target for the time between two events of a stream
 * @param callerTimeout time without an answer or event after which callers are expected to
 *     disconnect
 * @param priority 0 is the most urgent
 * @param attempts maximum number of servers to which one call is sent
 * @param allowsAnonymous whether callers need no API key
 * @param resumable whether a stream may continue on another server
 */
public record ServedRoute(
        String name,
        String host,
        String pathPrefix,
        CallKind kind,
        Duration timeout,
        Duration objective,
        Duration eventGapObjective,
        Duration callerTimeout,
        int priority,
        List<PoolShare> pools,
        int attempts,
        boolean allowsAnonymous,
        boolean resumable) {

    /** Copies the list so that the record is immutable. */
    public ServedRoute {
        pools = List.copyOf(pools);
    }

    /** Returns whether a call may run a second time after a run of unknown outcome. */
    public boolean repeatable() {
        return kind == CallKind.REPEATABLE || (kind == CallKind.STREAM && resumable);
    }
}
