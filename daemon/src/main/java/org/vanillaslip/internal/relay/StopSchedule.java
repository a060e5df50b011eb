package org.vanillaslip.internal.relay;

import java.time.Duration;

/**
 * When the steps of a planned stop begin, counted from its signal.
 *
 * @param refusal time from which new calls on open connections are refused
 * @param closing time from which no connections are accepted and calls have their last time to end
 */
record StopSchedule(Duration refusal, Duration closing) {

    /**
     * Signals and timers are late on a busy host. Without this lead it accepts calls after the
     * delay, which have less time to end than callers may expect.
     */
    private static final Duration MAX_REFUSAL_LEAD = Duration.ofMillis(250);

    /** The lead takes at most this part of a short delay. */
    private static final int LEAD_DIVISOR = 4;

    /** Returns the schedule of a stop with the delay. */
    static StopSchedule of(Duration delay) {
        Duration part = delay.dividedBy(LEAD_DIVISOR);
        Duration lead = part.compareTo(MAX_REFUSAL_LEAD) < 0 ? part : MAX_REFUSAL_LEAD;
        return new StopSchedule(delay.minus(lead), delay);
    }
}
