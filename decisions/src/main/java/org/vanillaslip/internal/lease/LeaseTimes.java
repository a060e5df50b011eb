package org.vanillaslip.internal.lease;

import java.time.Duration;

/**
 * Timing parameters of a lease.
 *
 * @param validity time for which the lease is valid after the holder sent a successful write
 * @param maxClockDrift largest relative difference between the speeds of two hosts' monotonic
 *     clocks
 * @param rankDelay additional wait of a candidate per rank, so that the preferred host tries first
 */
public record LeaseTimes(Duration validity, double maxClockDrift, Duration rankDelay) {

    /** A validity of 10 s, for clocks whose speeds differ by at most 1%. */
    public static final LeaseTimes STANDARD =
            new LeaseTimes(Duration.ofSeconds(10), 0.01, Duration.ofSeconds(1));

    /** Short, because after a lease holder fails, no load is ordered until its lease expires. */
    public static final LeaseTimes FAST_TAKEOVER =
            new LeaseTimes(Duration.ofMillis(2500), 0.01, Duration.ofMillis(150));

    /** Returns how long a holder may make decisions after it sent a successful write. */
    public long decisionPeriodNanos() {
        return validity.toNanos() * 2 / 3;
    }

    /** Returns the age at which the holder renews the lease, early enough for a second attempt. */
    public long renewalAgeNanos() {
        return validity.toNanos() * 3 / 10;
    }

    /** Returns how long a candidate must see an unchanged version before it takes the lease. */
    public long takeoverWaitNanos(LeaseRecord lease, int rank) {
        long expiry = lease.released() ? 0 : lease.validityMillis() * 1_000_000L;
        // The clock of the holder may be slow by the drift, and that of the candidate fast.
        return (long) Math.ceil(expiry * (1 + maxClockDrift) / (1 - maxClockDrift))
                + rank * rankDelay.toNanos();
    }
}
