package org.vanillaslip.internal.routing;

import java.time.Duration;

/**
 * What this host has learned of a server from its own calls. A server that fails is left out for a
 * while and then tried with one call at a time.
 */
public final class ServerHealth {

    private static final long INITIAL_PAUSE_NANOS = Duration.ofMillis(400).toNanos();
    private static final long MAX_PAUSE_NANOS = Duration.ofSeconds(3).toNanos();

    /** Failures in a row from which a server that accepts connections is left out. */
    private static final int CONSECUTIVE_FAILURE_LIMIT = 2;

    /** Weight of the last result in the failure rate. */
    private static final double FAILURE_RATE_WEIGHT = 0.25;

    private static final double FAILURE_RATE_LIMIT = 0.45;

    /** What a failed connection says about the servers beside it holds for this long. */
    private static final long RECENT_NANOS = Duration.ofMillis(1500).toNanos();

    private int mConsecutiveFailures;
    private double mFailureRate;
    private long mPauseNanos = INITIAL_PAUSE_NANOS;
    private long mPausedUntilNanos = Long.MIN_VALUE;
    private boolean mProbeInFlight;
    private long mUnreachableAtNanos = Long.MIN_VALUE;
    private long mSucceededAtNanos = Long.MIN_VALUE;

    /** Returns whether the server takes calls. */
    public boolean usable(long nowNanos) {
        if (mPausedUntilNanos == Long.MIN_VALUE) {
            return true;
        }
        return nowNanos - mPausedUntilNanos >= 0 && !mProbeInFlight;
    }

    /** Returns whether calls failed one after the other and none has succeeded since. */
    public boolean failing() {
        return mPausedUntilNanos != Long.MIN_VALUE
                && mConsecutiveFailures >= CONSECUTIVE_FAILURE_LIMIT;
    }

    /**
     * Returns whether no connection could be made a short while ago, and no call succeeded since.
     */
    public boolean recentlyUnreachable(long nowNanos) {
        return mUnreachableAtNanos != Long.MIN_VALUE
                && nowNanos - mUnreachableAtNanos < RECENT_NANOS;
    }

    /** Returns whether a call succeeded a short while ago. */
    public boolean recentlySucceeded(long nowNanos) {
        return mSucceededAtNanos != Long.MIN_VALUE && nowNanos - mSucceededAtNanos < RECENT_NANOS;
    }

    /** Notes that a call is sent. */
    public void recordSent() {
        mProbeInFlight = mPausedUntilNanos != Long.MIN_VALUE;
    }

    /** Notes an answer. */
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

    /** Notes that a call ended without a result on the server's health. */
    public void recordInconclusive() {
        mProbeInFlight = false;
    }

    /** Notes a call that failed after it was sent. */
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

    /** Notes that no connection could be made. */
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
