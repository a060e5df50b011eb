package org.vanillaslip.internal.quota;

import java.time.Duration;

/**
 * Time limits for grants.
 *
 * @param validityNanos how long a borrower may use a grant, from when it sent its request
 * @param reportIntervalNanos maximum time that spent tokens stay unreported; until then they block
 *     refill
 */
public record QuotaTimes(long validityNanos, long reportIntervalNanos) {

    /** Default values: a lost grant costs at most the refill of its tokens during 4 s. */
    public static final QuotaTimes DEFAULT =
            new QuotaTimes(Duration.ofSeconds(4).toNanos(), Duration.ofMillis(250).toNanos());

    /** Reciprocal of the largest relative difference between two monotonic clocks. */
    private static final long DRIFT_DIVISOR = 100;

    /** Returns how long a granter waits until tokens lent for the given time count as expired. */
    public static long withDrift(long nanos) {
        return nanos + nanos / DRIFT_DIVISOR + 1;
    }

    /** Returns the longest validity that, with clock drift, ends within the given time. */
    public static long withoutDrift(long nanos) {
        return Math.max(0, (nanos - 1) / (DRIFT_DIVISOR + 1) * DRIFT_DIVISOR);
    }

    /** Returns how long after a restart grants of an earlier incarnation may still be used. */
    public long predecessorGrantLifetimeNanos() {
        return withDrift(validityNanos);
    }
}
