package org.vanillaslip.internal.platform;

import org.vanillaslip.MonotonicClock;

/**
 * Token bucket for the platform calls of one host. The last {@code reserved} tokens are only given
 * to calls that keep the host working: watches and lease writes.
 */
public final class CallBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    private final MonotonicClock mClock;
    private final double mCallsPerSecond;
    private final double mCapacity;
    private final double mReserved;
    private double mLevel;
    private long mUpdatedNanos;

    /** Creates a full bucket. */
    public CallBudget(
            MonotonicClock clock, double callsPerSecond, double capacity, double reserved) {
        mClock = clock;
        mCallsPerSecond = callsPerSecond;
        mCapacity = capacity;
        mReserved = reserved;
        mLevel = capacity;
        mUpdatedNanos = clock.nowNanos();
    }

    /** Takes one token for an ordinary call; returns whether there was one outside the reserve. */
    public boolean tryTake() {
        return tryTake(1 + mReserved);
    }

    /** Takes one token for a call that may use the reserve. */
    public boolean tryTakeReserved() {
        return tryTake(1);
    }

    private synchronized boolean tryTake(double needed) {
        long now = mClock.nowNanos();
        double refill = (now - mUpdatedNanos) / NANOS_PER_SECOND * mCallsPerSecond;
        mLevel = Math.min(mCapacity, mLevel + refill);
        mUpdatedNanos = now;
        if (mLevel < needed) {
            return false;
        }
        mLevel -= 1;
        return true;
    }
}
