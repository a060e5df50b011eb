package org.vanillaslip.internal.relay;

import java.time.Duration;

/**
 * Measures by regular checks for how long a server has sent nothing. A check that runs late shows
 * that this host stood still, in which time it has not read what its servers sent.
 */
final class SilenceMeter {

    private static final int CHECKS_PER_TIMEOUT = 4;

    private static final Duration MAX_INTERVAL = Duration.ofMillis(250);
    private static final Duration MIN_INTERVAL = Duration.ofMillis(10);

    /** The host was busy before a check that is this late. */
    private static final long LATE_NANOS = Duration.ofMillis(100).toNanos();

    private final long mTimeoutNanos;
    private final long mIntervalNanos;
    private long mLastNanos;
    private long mSilentNanos;

    SilenceMeter(Duration timeout, long nowNanos) {
        mTimeoutNanos = timeout.toNanos();
        mIntervalNanos =
                Math.max(
                        MIN_INTERVAL.toNanos(),
                        Math.min(MAX_INTERVAL.toNanos(), mTimeoutNanos / CHECKS_PER_TIMEOUT));
        mLastNanos = nowNanos;
    }

    /** Returns the time between two checks. */
    Duration interval() {
        return Duration.ofNanos(mIntervalNanos);
    }

    /** Begins anew, because the server has sent something or nothing was requested. */
    void restart(long nowNanos) {
        mSilentNanos = 0;
        mLastNanos = nowNanos;
    }

    /**
     * Adds the time since the last check, of a late one an interval at most.
     *
     * @return whether the check is on time and the silence has lasted for the timeout
     */
    boolean check(long nowNanos) {
        long elapsedNanos = nowNanos - mLastNanos;
        if (elapsedNanos < mIntervalNanos / 2) {
            // Timers make up for the checks that a standstill held up before the sockets are read.
            return false;
        }
        mLastNanos = nowNanos;
        mSilentNanos += Math.min(elapsedNanos, mIntervalNanos);
        return elapsedNanos < mIntervalNanos + LATE_NANOS && mSilentNanos >= mTimeoutNanos;
    }

    /** Returns the measured time. */
    Duration silence() {
        return Duration.ofNanos(mSilentNanos);
    }
}
