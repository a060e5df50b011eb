package org.vanillaslip.internal.routing;

/** This host's part of the retries that all hosts together may send in a window. */
public final class FleetRetryAllowance implements RetryAllowance {

    /** Covers requests that several hosts count because their callers move among these hosts. */
    private static final double COUNTED_PART = 0.9;

    /** Limits the retries for requests that may have come to another host in the last window. */
    private static final int MIN_COUNTED_DIVISOR = 3;

    private final double mRatio;
    private final RetryExtraShare mExtraShare;

    /**
     * Creates an allowance.
     *
     * @param ratio retries per request
     */
    public FleetRetryAllowance(double ratio, RetryExtraShare extraShare) {
        mRatio = ratio;
        mExtraShare = extraShare;
    }

    @Override
    public long maxRetries(long requests, long earlierRequests, long nowNanos) {
        long steadyRequests = Math.min(requests, earlierRequests);
        double counted = Math.max(steadyRequests, (double) requests / MIN_COUNTED_DIVISOR);
        return (long) (mRatio * COUNTED_PART * counted + mExtraShare.retries(nowNanos));
    }
}
