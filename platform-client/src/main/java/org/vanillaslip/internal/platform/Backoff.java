package org.vanillaslip.internal.platform;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential back-off with full jitter: each delay is uniform between zero and a rising bound. */
public final class Backoff {

    private static final int MOST_DOUBLINGS = 30;

    private final Duration mFirst;
    private final Duration mLongest;
    private final RandomGenerator mRandom;
    private int mFailures;

    /** Creates a back-off whose bound starts at the first delay and doubles up to the longest. */
    public Backoff(Duration first, Duration longest, RandomGenerator random) {
        mFirst = first;
        mLongest = longest;
        mRandom = random;
    }

    /** Returns the delay before the next attempt and raises the bound. */
    public Duration nextDelay() {
        long doubled = saturatedProduct(mFirst.toNanos(), 1L << mFailures);
        long bound = Math.min(mLongest.toNanos(), doubled);
        mFailures = Math.min(mFailures + 1, MOST_DOUBLINGS);
        return Duration.ofNanos(mRandom.nextLong(bound + 1));
    }

    /** Starts from the first delay again, after a success. */
    public void reset() {
        mFailures = 0;
    }

    private static long saturatedProduct(long left, long right) {
        return left > Long.MAX_VALUE / right ? Long.MAX_VALUE - 1 : left * right;
    }
}
