package org.vanillaslip.internal.quota;

/**
 * Estimates when tokens become available, from the refill rate of all reachable hosts and the
 * result of the last request for tokens.
 */
public final class RefillEstimate {

    /**
     * Minimum time between two requests for an exhausted limit; bounds the number of messages under
     * overload.
     */
    public static final long MIN_RETRY_DELAY_NANOS = 50_000_000;

    /**
     * Maximum time between two requests while charges wait, because other hosts may return tokens.
     */
    private static final long MAX_RETRY_DELAY_NANOS = 250_000_000;

    private static final double MAX_REFILL_NANOS = 3.6e12;

    private double mRatePerNano;
    private double mRemoteRatePerNano;
    private long mRemoteCapacity;
    private boolean mExhausted;
    private long mExhaustedAt;
    private long mBacklogUntil;

    /**
     * Sets the refill rate of this host, and the refill rate and capacity of all other reachable
     * hosts together.
     */
    public void resize(double ownRatePerSecond, double remoteRatePerSecond, long remoteCapacity) {
        mRemoteRatePerNano = remoteRatePerSecond / 1e9;
        mRatePerNano = ownRatePerSecond / 1e9 + mRemoteRatePerNano;
        mRemoteCapacity = remoteCapacity;
    }

    /**
     * Records that the reachable hosts together had less than was requested.
     *
     * @param backlogNanos time during which the refill goes to charges that wait on other hosts
     */
    public void recordExhausted(long backlogNanos, long nowNanos) {
        mExhausted = true;
        mExhaustedAt = nowNanos;
        mBacklogUntil = nowNanos + backlogNanos;
    }

    /** Records that a request for tokens was fully granted. */
    public void recordGranted() {
        mExhausted = false;
    }

    /** Returns how long all reachable hosts together take to refill the amount. */
    public long refillNanos(long amount) {
        if (amount <= 0) {
            return 0;
        }
        return (long) Math.min(amount / Math.max(mRatePerNano, 1e-9), MAX_REFILL_NANOS);
    }

    /** Returns how long this host is expected to wait for the missing amount. */
    public long expectedWaitNanos(long missing, long nowNanos) {
        if (missing <= 0) {
            return 0;
        }
        long backlog = mExhausted ? Math.max(0, mBacklogUntil - nowNanos) : 0;
        return backlog + refillNanos(missing - remoteAvailable(nowNanos));
    }

    /** Returns how long to wait before requesting the missing amount from other hosts. */
    public long retryDelayNanos(long missing, long nowNanos) {
        if (!mExhausted) {
            return 0;
        }
        long earliest = MIN_RETRY_DELAY_NANOS - (nowNanos - mExhaustedAt);
        long refill =
                Math.min(MAX_RETRY_DELAY_NANOS, refillNanos(missing - remoteAvailable(nowNanos)));
        return Math.max(0, Math.max(earliest, refill));
    }

    private long remoteAvailable(long nowNanos) {
        if (!mExhausted) {
            return mRemoteCapacity;
        }
        double refilled = (nowNanos - mExhaustedAt) * mRemoteRatePerNano;
        return (long) Math.min(mRemoteCapacity, refilled);
    }
}
