package org.vanillaslip.internal.routing;

import java.time.Duration;

/**
 * What this host has learned of a server from its own calls. A server that fails is left out for a
 * while and then tried with one call at a time.
 */
public final class ServerHealth {

    private static final long FIRST_PAUSE_NANOS = Duration.ofMillis(400).toNanos();
    private static final long LONGEST_PAUSE_NANOS = Duration.ofSeconds(3).toNanos();

    /** Failures in a row from which a server that accepts connections is left out. */
    private static final int FAILURES = 2;

    /** Weight of the last result in the failure rate. */
    private static final double RATE_WEIGHT = 0.25;

    private static final double HIGHEST_RATE = 0.45;

    /** What a failed connection says about the servers beside it holds for this long. */
    private static final long UNREACHABLE_NANOS = Duration.ofMillis(1500).toNanos();

    private int mFailuresInRow;
    private double mFailureRate;
    private long mPauseNanos = FIRST_PAUSE_NANOS;
    private long mPausedUntil = Long.MIN_VALUE;
    private boolean mTrial;
    private long mUnreachableAt = Long.MIN_VALUE;
    private long mSucceededAt = Long.MIN_VALUE;

    /** Returns whether the server takes calls. */
    public boolean usable(long nowNanos) {
        if (mPausedUntil == Long.MIN_VALUE) {
            return true;
        }
        return nowNanos - mPausedUntil >= 0 && !mTrial;
    }

    /** Returns whether calls failed one after the other and none has succeeded since. */
    public boolean lost() {
        return mPausedUntil != Long.MIN_VALUE && mFailuresInRow >= FAILURES;
    }

    /**
     * Returns whether no connection could be made a short while ago, and no call succeeded since.
     */
    public boolean unreachableAt(long nowNanos) {
        return mUnreachableAt != Long.MIN_VALUE && nowNanos - mUnreachableAt < UNREACHABLE_NANOS;
    }

    /** Returns whether a call succeeded a short while ago. */
    public boolean succeededAt(long nowNanos) {
        return mSucceededAt != Long.MIN_VALUE && nowNanos - mSucceededAt < UNREACHABLE_NANOS;
    }

    /** Notes that a call is sent. */
    public void sent() {
        mTrial = mPausedUntil != Long.MIN_VALUE;
    }

    /** Notes an answer. */
    public void succeeded(long nowNanos) {
        mSucceededAt = nowNanos;
        mTrial = false;
        mUnreachableAt = Long.MIN_VALUE;
        mFailuresInRow = 0;
        mFailureRate *= 1 - RATE_WEIGHT;
        if (mFailureRate < HIGHEST_RATE) {
            mPausedUntil = Long.MIN_VALUE;
            mPauseNanos = FIRST_PAUSE_NANOS;
        }
    }

    /** Notes that a call ended without a result on the server's health. */
    public void undecided() {
        mTrial = false;
    }

    /** Notes a call that failed after it was sent. */
    public void failed(long nowNanos) {
        mFailureRate = mFailureRate * (1 - RATE_WEIGHT) + RATE_WEIGHT;
        mFailuresInRow++;
        if (mTrial || mFailuresInRow >= FAILURES || mFailureRate >= HIGHEST_RATE) {
            pause(nowNanos);
        }
        mTrial = false;
    }

    /** Notes that no connection could be made. */
    public void unreachable(long nowNanos) {
        mFailuresInRow++;
        mTrial = false;
        mUnreachableAt = nowNanos;
        pause(nowNanos);
    }

    private void pause(long nowNanos) {
        boolean paused = mPausedUntil != Long.MIN_VALUE && nowNanos - mPausedUntil < 0;
        if (!paused) {
            mPausedUntil = nowNanos + mPauseNanos;
            mPauseNanos = Math.min(LONGEST_PAUSE_NANOS, mPauseNanos * 2);
        }
    }
}
