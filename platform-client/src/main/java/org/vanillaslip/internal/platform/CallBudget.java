package org.vanillaslip.internal.platform;

import java.time.Duration;
import org.vanillaslip.MonotonicClock;

/**
 * Token bucket for the platform calls of one host. The last {@code reserved} tokens are only given
 * to calls that keep the host working: watches and lease writes.
 */
public final class CallBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    /** A wrong value must not cut a host off from the platform for hours. */
    private static final Duration MAX_PAUSE = Duration.ofMinutes(1);

    private final MonotonicClock mClock;
    private final double mCallsPerSecond;
    private final double mCapacity;
    private final double mReservedTokens;
    private double mTokens;
    private long mRefilledAtNanos;
    private long mPauseNanos;
    private long mPausedAtNanos;

    /** Creates a full bucket. */
    public CallBudget(
            MonotonicClock clock, double callsPerSecond, double capacity, double reserved) {
        mClock = clock;
        mCallsPerSecond = callsPerSecond;
        mCapacity = capacity;
        mReservedTokens = reserved;
        mTokens = capacity;
        mRefilledAtNanos = clock.nowNanos();
    }

    /** Takes one token for an ordinary call; returns whether there was one outside the reserve. */
    public boolean tryAcquire() {
        return tryAcquire(1 + mReservedTokens);
    }

    /** Takes one token for a call that may use the reserve. */
    public boolean tryAcquireReserved() {
        return tryAcquire(1);
    }

    /** Gives no token for the time that the platform asked for; the reserve is closed too. */
    public synchronized void pause(Duration retryAfter) {
        long now = mClock.nowNanos();
        long remainingNanos = mPauseNanos - (now - mPausedAtNanos);
        long requestedNanos = Math.min(retryAfter.toNanos(), MAX_PAUSE.toNanos());
        mPauseNanos = Math.max(remainingNanos, requestedNanos);
        mPausedAtNanos = now;
    }

    private synchronized boolean tryAcquire(double requiredTokens) {
        long now = mClock.nowNanos();
        if (now - mPausedAtNanos < mPauseNanos) {
            return false;
        }
        double refill = (now - mRefilledAtNanos) / NANOS_PER_SECOND * mCallsPerSecond;
        mTokens = Math.min(mCapacity, mTokens + refill);
        mRefilledAtNanos = now;
        if (mTokens < requiredTokens) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}
