package org.vanillaslip.internal.routing;

import java.time.Duration;

/**
 * Health of a server by the results of this host's own calls. A failing server is paused for a
 * while and then probed with one call at a time, like the half-open state of a circuit breaker.
 */
public final class ServerHealth {

    private static final long INITIAL_PAUSE_NANOS = Duration.ofMillis(400).toNanos();
    private static final long MAX_PAUSE_NANOS = Duration.ofSeconds(3).toNanos();

    /** Number of a call that is no probe. */
    private static final long NO_PROBE = 0;

    /**
     * A probe without a result holds back further ones for this long only, so that a server is used
     * again even if the end of the probe is never recorded.
     */
    private static final long MAX_PROBE_NANOS = MAX_PAUSE_NANOS;

    /** Consecutive failures after which a server that accepts connections is paused. */
    private static final int CONSECUTIVE_FAILURE_LIMIT = 2;

    /** Weight of the newest result in the failure rate. */
    private static final double FAILURE_RATE_WEIGHT = 0.25;

    private static final double FAILURE_RATE_LIMIT = 0.45;

    /** How long a result counts as evidence for the other servers of the failure domain. */
    private static final long RECENT_NANOS = Duration.ofMillis(1500).toNanos();

    /** How long a recorded silence keeps calls away; it is recorded again while it lasts. */
    private static final long SILENCE_VALID_NANOS = Duration.ofMillis(600).toNanos();

    private int mConsecutiveFailures;
    private double mFailureRate;
    private long mPauseNanos = INITIAL_PAUSE_NANOS;
    private long mPausedUntilNanos = Long.MIN_VALUE;
    private long mProbe = NO_PROBE;
    private long mLastProbe = NO_PROBE;
    private long mProbeSentAtNanos;
    private long mUnreachableAtNanos = Long.MIN_VALUE;
    private long mSucceededAtNanos = Long.MIN_VALUE;
    private long mSilentAtNanos = Long.MIN_VALUE;

    /** Returns whether a call may be sent: the server is not paused, or is due for a probe. */
    public boolean usable(long nowNanos) {
        if (mPausedUntilNanos == Long.MIN_VALUE) {
            return true;
        }
        boolean probing = mProbe != NO_PROBE && nowNanos - mProbeSentAtNanos < MAX_PROBE_NANOS;
        return nowNanos - mPausedUntilNanos >= 0 && !probing;
    }

    /** Returns whether the server is paused after consecutive failures without a later success. */
    public boolean failing() {
        return mPausedUntilNanos != Long.MIN_VALUE
                && mConsecutiveFailures >= CONSECUTIVE_FAILURE_LIMIT;
    }

    /** Returns whether a connection failed recently and no call has succeeded since. */
    public boolean recentlyUnreachable(long nowNanos) {
        return mUnreachableAtNanos != Long.MIN_VALUE
                && nowNanos - mUnreachableAtNanos < RECENT_NANOS;
    }

    /** Returns whether a call succeeded recently. */
    public boolean recentlySucceeded(long nowNanos) {
        return mSucceededAtNanos != Long.MIN_VALUE && nowNanos - mSucceededAtNanos < RECENT_NANOS;
    }

    /** Returns whether a call has succeeded or progressed at or after the time. */
    public boolean succeededSince(long nanos) {
        return mSucceededAtNanos != Long.MIN_VALUE && mSucceededAtNanos - nanos >= 0;
    }

    /** Returns whether the server has begun answers and is silent; others are then preferred. */
    public boolean silent(long nowNanos) {
        return mSilentAtNanos != Long.MIN_VALUE && nowNanos - mSilentAtNanos < SILENCE_VALID_NANOS;
    }

    /** Records that the server has begun answers and is silent, which is not a failure. */
    public void recordSilence(long nowNanos) {
        mSilentAtNanos = nowNanos;
    }

    /**
     * Records that a call is sent; to a paused server it is a probe.
     *
     * @return number of the call for {@link #recordEnd}
     */
    public long recordSent(long nowNanos) {
        if (mPausedUntilNanos == Long.MIN_VALUE) {
            return NO_PROBE;
        }
        mProbe = ++mLastProbe;
        mProbeSentAtNanos = nowNanos;
        return mProbe;
    }

    /**
     * Records that a call has ended, with or without a result. A call ends without one if it is
     * cancelled: its deadline has passed, or its caller has disconnected.
     *
     * @return whether it was a probe without a result
     */
    public boolean recordEnd(long call) {
        boolean withoutResult = call != NO_PROBE && call == mProbe;
        if (withoutResult) {
            mProbe = NO_PROBE;
        }
        return withoutResult;
    }

    /** Records a successful call. */
    public void recordSuccess(long nowNanos) {
        mSucceededAtNanos = nowNanos;
        mSilentAtNanos = Long.MIN_VALUE;
        mProbe = NO_PROBE;
        mUnreachableAtNanos = Long.MIN_VALUE;
        mConsecutiveFailures = 0;
        mFailureRate *= 1 - FAILURE_RATE_WEIGHT;
        if (mFailureRate < FAILURE_RATE_LIMIT) {
            mPausedUntilNanos = Long.MIN_VALUE;
            mPauseNanos = INITIAL_PAUSE_NANOS;
        }
    }

    /** Records that a call ended without evidence about the health of the server. */
    public void recordInconclusive() {
        mProbe = NO_PROBE;
    }

    /** Records a call that failed after it was sent; returns whether a pause has begun. */
    public boolean recordFailure(long nowNanos) {
        mFailureRate = mFailureRate * (1 - FAILURE_RATE_WEIGHT) + FAILURE_RATE_WEIGHT;
        mConsecutiveFailures++;
        boolean pauses =
                mProbe != NO_PROBE
                        || mConsecutiveFailures >= CONSECUTIVE_FAILURE_LIMIT
                        || mFailureRate >= FAILURE_RATE_LIMIT;
        mProbe = NO_PROBE;
        return pauses && pause(nowNanos);
    }

    /** Records that no connection could be established; returns whether a pause has begun. */
    public boolean recordUnreachable(long nowNanos) {
        mConsecutiveFailures++;
        mProbe = NO_PROBE;
        mUnreachableAtNanos = nowNanos;
        return pause(nowNanos);
    }

    private boolean pause(long nowNanos) {
        boolean paused = mPausedUntilNanos != Long.MIN_VALUE && nowNanos - mPausedUntilNanos < 0;
        if (!paused) {
            mPausedUntilNanos = nowNanos + mPauseNanos;
            mPauseNanos = Math.min(MAX_PAUSE_NANOS, mPauseNanos * 2);
        }
        return !paused;
    }
}
