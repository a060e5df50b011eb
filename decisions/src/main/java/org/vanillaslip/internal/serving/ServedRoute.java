package org.vanillaslip.internal.serving;

import java.time.Duration;
import java.util.List;

/**
 * A route whose calls are passed through unchanged.
 *
 * @param host value of the caller's {@code Host} header, in lower case and without a port
 * @param pathPrefix beginning of the path; the longest matching prefix of a host wins
 * @param timeout longest time that a call is kept waiting
 * @param objective time within which the answer, or its first event, is on time
 * @param eventGapObjective longest pause between two events of a stream that is on time
 * @param callerTimeout time after which callers leave when nothing has come
 * @param priority 0 is the most urgent
 * @param attempts most servers that one call is sent to
 * @param allowsAnonymous whether callers need no key
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
