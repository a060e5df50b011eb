package org.vanillaslip.internal.routing;

import java.time.Duration;

/**
 * Health of a server by the results of this host's own calls. A failing server is paused for a
 * while and then probed with one call at a time, like the half-open state of a circuit breaker.
 */
public final class ServerHealth {

    private static final long INITIAL_PAUSE_NANOS = Duration.ofMillis(400).toNanos();
    private static final long MAX_PAUSE_NANOS = Duration.ofSeconds(3).toNanos();

    /** Consecutive failures after which a server that accepts connections is paused. */
    private static final int CONSECUTIVE_FAILURE_LIMIT = 2;

    /** Weight of the newest result in the failure rate. */
    private static final double FAILURE_RATE_WEIGHT = 0.25;

    private static final double FAILURE_RATE_LIMIT = 0.45;

    /** How long a result counts as evidence for the other servers of the failure domain. */
    private static final long RECENT_NANOS = Duration.ofMillis(1500).toNanos();

    private int mConsecutiveFailures;
    private double mFailureRate;
    private long mPauseNanos = INITIAL_PAUSE_NANOS;
    private long mPausedUntilNanos = Long.MIN_VALUE;
    private boolean mProbeInFlight;
    private long mUnreachableAtNanos = Long.MIN_VALUE;
    private long mSucceededAtNanos = Long.MIN_VALUE;

    /** Returns whether a call may be sent: the server is not paused, or is due for a probe. */
    public boolean usable(long nowNanos) {
        if (mPausedUntilNanos == Long.MIN_VALUE) {
            return true;
        }
        return nowNanos - mPausedUntilNanos >= 0 && !mProbeInFlight;
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

    /** Records that a call is sent; to a paused server it is a probe. */
    public void recordSent() {
        mProbeInFlight = mPausedUntilNanos != Long.MIN_VALUE;
    }

    /** Records a successful call. */
    public void recordSuccess(long nowNanos) {
        mSucceededAtNanos = nowNanos;
        mProbeInFlight = false;
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
        mProbeInFlight = false;
    }

    /** Records a call that failed after it was sent. */
    public void recordFailure(long nowNanos) {
        mFailureRate = mFailureRate * (1 - FAILURE_RATE_WEIGHT) + FAILURE_RATE_WEIGHT;
        mConsecutiveFailures++;
        if (mProbeInFlight
                || mConsecutiveFailures >= CONSECUTIVE_FAILURE_LIMIT
                || mFailureRate >= FAILURE_RATE_LIMIT) {
            pause(nowNanos);
        }
        mProbeInFlight = false;
    }

    /** Records that no connection could be established. */
    public void recordUnreachable(long nowNanos) {
        mConsecutiveFailures++;
        mProbeInFlight = false;
        mUnreachableAtNanos = nowNanos;
        pause(nowNanos);
    }

    private void pause(long nowNanos) {
        boolean paused = mPausedUntilNanos != Long.MIN_VALUE && nowNanos - mPausedUntilNanos < 0;
        if (!paused) {
            mPausedUntilNanos = nowNanos + mPauseNanos;
            mPauseNanos = Math.min(MAX_PAUSE_NANOS, mPauseNanos * 2);
        }
    }
}
