package org.vanillaslip.internal.lease;

import java.time.Duration;

/**
 * Durations of a lease.
 *
 * @param validity time that a holder counts from sending a successful write
 * @param maxClockDrift largest relative difference between the speeds of two hosts' monotonic
 *     clocks
 * @param rankDelay additional wait per rank, so that the preferred host tries first
 */
public record LeaseTimes(Duration validity, double maxClockDrift, Duration rankDelay) {

    /** Values of the design: 10 s validity, clocks within 1%. */
    public static final LeaseTimes STANDARD =
            new LeaseTimes(Duration.ofSeconds(10), 0.01, Duration.ofSeconds(1));

    /** Returns how long a holder may make decisions after sending a write. */
    public long decisionPeriodNanos() {
        return validity.toNanos() * 2 / 3;
    }

    /** Returns the age at which the holder renews, early enough for a second attempt. */
    public long renewalAgeNanos() {
        return validity.toNanos() * 3 / 10;
    }

    /** Returns how long a candidate must see one version unchanged. */
    public long takeoverWaitNanos(LeaseRecord lease, int rank) {
        long expiry = lease.released() ? 0 : lease.validityMillis() * 1_000_000L;
        // The holder's clock may be slow by the drift while the candidate's is fast.
        return (long) Math.ceil(expiry * (1 + maxClockDrift) / (1 - maxClockDrift))
                + rank * rankDelay.toNanos();
    }
}
