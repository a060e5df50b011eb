package org.vanillaslip.internal.platform;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential backoff with full jitter: a delay is uniform between zero and a growing bound. */
public final class Backoff {

    private static final int MAX_DOUBLINGS = 30;

    private final Duration mInitialBound;
    private final Duration mMaxBound;
    private final RandomGenerator mRandom;
    private int mDoublings;

    /** Creates a backoff whose bound doubles after each attempt until it reaches the maximum. */
    public Backoff(Duration initialBound, Duration maxBound, RandomGenerator random) {
        mInitialBound = initialBound;
        mMaxBound = maxBound;
        mRandom = random;
    }

    /** Returns the delay before the next attempt and doubles the bound. */
    public Duration nextDelay() {
        long doubled = saturatingMultiply(mInitialBound.toNanos(), 1L << mDoublings);
        long bound = Math.min(mMaxBound.toNanos(), doubled);
        mDoublings = Math.min(mDoublings + 1, MAX_DOUBLINGS);
        return Duration.ofNanos(mRandom.nextLong(bound + 1));
    }

    /** Resets the bound to its initial value after a success. */
    public void reset() {
        mDoublings = 0;
    }

    private static long saturatingMultiply(long left, long right) {
        return left > Long.MAX_VALUE / right ? Long.MAX_VALUE - 1 : left * right;
    }
}
