package org.vanillaslip.internal.control.placement;

import java.time.Duration;

/** Intervals at which the status of servers is polled. */
final class PollIntervals {

    /** An adapter loads in 5 to 15 ms, so a longer interval would dominate its cold start time. */
    static final Duration TICK = Duration.ofMillis(20);

    static final Duration IDLE = Duration.ofSeconds(1);

    /** While no order has an unknown outcome, servers are checked only at every tenth tick. */
    static final int TICKS_PER_IDLE_CHECK = 10;

    /** Interval of hosts that do not hold the lease and receive no digests from a holder. */
    static final Duration WITHOUT_HOLDER = Duration.ofSeconds(2);

    /** Maximum number of recorded arrivals per message; the arrival history keeps the last 32. */
    static final int MAX_ARRIVALS = 32;

    private PollIntervals() {}

    /** Returns the short interval while an order on the server has an unknown outcome. */
    static Duration interval(boolean hasUnresolvedOrder) {
        return hasUnresolvedOrder ? TICK : IDLE;
    }
}
