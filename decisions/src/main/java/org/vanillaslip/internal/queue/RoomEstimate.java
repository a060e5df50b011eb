package org.vanillaslip.internal.queue;

import java.time.Duration;

/**
 * Estimate of when slots become free for waiting calls.
 *
 * @param slotsPerSecond rate at which calls of this host have left the servers
 */
public record RoomEstimate(double slotsPerSecond) {

    /** Covers the error of the rate. */
    private static final double RATE_MARGIN = 1.25;

    /** Covers the variation of the number of slots, in standard deviations. */
    private static final double DEVIATIONS = 3;

    /**
     * Returns whether the call is clearly not served in the time.
     *
     * @param ahead calls that are served before it on the same servers
     */
    public boolean isOutOfReach(int ahead, Duration timeLeft) {
        double slots = slotsPerSecond * Math.max(0, timeLeft.toNanos()) / 1e9;
        return ahead + 1 > RATE_MARGIN * slots + DEVIATIONS * Math.sqrt(slots);
    }

    /** Returns the expected wait behind the calls. */
    public Duration waitBehind(int ahead) {
        return Duration.ofNanos((long) Math.min(1e12, (ahead + 1) / slotsPerSecond * 1e9));
    }
}
