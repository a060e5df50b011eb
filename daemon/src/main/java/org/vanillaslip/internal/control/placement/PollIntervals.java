package org.vanillaslip.internal.control.placement;

import java.time.Duration;

/** How often servers are asked for their status. */
final class PollIntervals {

    /** An adapter loads in 5 to 15 ms, so a longer interval would dominate its cold start. */
    static final Duration TICK = Duration.ofMillis(20);

    static final Duration IDLE = Duration.ofSeconds(1);

    /** Without an open order the servers are only gone through at every tenth tick. */
    static final int TICKS_PER_IDLE_CHECK = 10;

    /** Interval of hosts that do not hold the lease and hear from no holder. */
    static final Duration WITHOUT_HOLDER = Duration.ofSeconds(2);

    /** Most arrivals of one message that enter the history; it keeps the last 32. */
    static final int MAX_ARRIVALS = 32;

    private PollIntervals() {}

    /** Returns a short interval while an order on the server has no known outcome. */
    static Duration interval(boolean hasUnresolvedOrder) {
        return hasUnresolvedOrder ? TICK : IDLE;
    }
}
