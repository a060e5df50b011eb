package org.vanillaslip.internal.quota;

import java.time.Duration;

/**
 * Durations of grants.
 *
 * @param validityNanos how long a borrower may use a grant, counted from sending its request
 * @param reportIntervalNanos longest time that spent tokens stay unreported while they block refill
 */
public record QuotaTimes(long validityNanos, long reportIntervalNanos) {

    /** Values for the deployments: a lost grant costs at most 4 s of its tokens' refill. */
    public static final QuotaTimes DEFAULT =
            new QuotaTimes(Duration.ofSeconds(4).toNanos(), Duration.ofMillis(250).toNanos());

    /** Largest relative difference between two monotonic clocks, as one part in this many. */
    private static final long DRIFT_DIVISOR = 100;

    /** Returns the time that a granter waits before tokens lent for the given time expire. */
    public static long withDrift(long nanos) {
        return nanos + nanos / DRIFT_DIVISOR + 1;
    }

    /** Returns the longest validity that, with drift, ends within the given time. */
    public static long withoutDrift(long nanos) {
        return Math.max(0, (nanos - 1) / (DRIFT_DIVISOR + 1) * DRIFT_DIVISOR);
    }

    /** Returns the time after which no grant of an earlier incarnation can still be used. */
    public long predecessorGrantLifetimeNanos() {
        return withDrift(validityNanos);
    }
}
