package org.vanillaslip.internal.platform;

import java.time.Duration;
import org.vanillaslip.MonotonicClock;

/**
 * Token bucket that limits the platform calls of one host. The last {@code reserved} tokens are
 * kept for calls that the host depends on: watches and calls for leases.
 */
public final class CallBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Limits the effect of a wrong Retry-After value, which could block all calls for hours. */
    private static final Duration MAX_PAUSE = Duration.ofMinutes(1);

    private final MonotonicClock mClock;
    private final double mCallsPerSecond;
    private final double mCapacity;
    private final double mReservedTokens;
    private double mTokens;
    private long mRefilledAtNanos;
    private long mPauseNanos;
    private long mPausedAtNanos;

    /** Creates a bucket that starts full. */
    public CallBudget(
            MonotonicClock clock, double callsPerSecond, double capacity, double reserved) {
        mClock = clock;
        mCallsPerSecond = callsPerSecond;
        mCapacity = capacity;
        mReservedTokens = reserved;
        mTokens = capacity;
        mRefilledAtNanos = clock.nowNanos();
    }

    /** Takes a token for an ordinary call; returns false if only reserved tokens are left. */
    public boolean tryAcquire() {
        return tryAcquire(1 + mReservedTokens);
    }

    /** Takes a token for a call that may use the reserved ones; returns false if none is left. */
    public boolean tryAcquireReserved() {
        return tryAcquire(1);
    }

    /** Blocks all calls, also those that may use reserved tokens, for the given time. */
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
