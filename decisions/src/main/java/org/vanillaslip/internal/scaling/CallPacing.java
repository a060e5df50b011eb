package org.vanillaslip.internal.scaling;

import java.time.Duration;

/** Times of duty calls: at most a part of the accepted rate, and pauses after failures. */
public final class CallPacing {

    /** Leaves room for the usage reports, which may use another quarter. */
    private static final double RATE_FRACTION = 0.25;

    /** Pause after the first failure; short against the boot of a server, some seconds. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(500);

    /** Longest pause; about the boot time by which a number is late once the API is back. */
    private static final Duration MAX_PAUSE = Duration.ofSeconds(8);

    private final long mIntervalNanos;
    private long mPauseNanos;
    private long mNextCallAt;
    private boolean mCalled;

    /** Creates a pacing for a rate that the platform accepts from all hosts together. */
    public CallPacing(double callsPerSecond) {
        mIntervalNanos = (long) (1e9 / (callsPerSecond * RATE_FRACTION));
    }

    /** Returns whether a call may be made now. */
    public boolean mayCall(long nowNanos) {
        return !mCalled || nowNanos - mNextCallAt >= 0;
    }

    /** Records that a call is made. */
    public void recordCall(long nowNanos) {
        mCalled = true;
        mNextCallAt = nowNanos + mIntervalNanos;
    }

    /** Records that the platform has answered. */
    public void recordSuccess() {
        mPauseNanos = 0;
    }

    /**
     * Records that the platform took no call, and doubles the pause before the next one.
     *
     * @return the pause
     */
    public Duration recordFailure(long nowNanos) {
        mPauseNanos =
                Math.min(MAX_PAUSE.toNanos(), Math.max(FIRST_PAUSE.toNanos(), mPauseNanos * 2));
        mNextCallAt = nowNanos + Math.max(mIntervalNanos, mPauseNanos);
        return Duration.ofNanos(mPauseNanos);
    }
}
