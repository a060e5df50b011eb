package org.vanillaslip.internal.quota;

import java.time.Duration;

/** Tokens of refused calls that are expected to be retried. */
final class RefusedBacklog {

    /** Longest retry delay for a caller, whatever the expected wait. */
    private static final double MAX_RETRY_DELAY_NANOS = 10e9;

    private double mTokens;
    private long mUpdatedAt;

    /**
     * Adds a refused call and returns its retry delay.
     *
     * @param missing tokens that all hosts lack for the call
     * @param share part of the rate that this host takes
     */
    Duration add(long tokens, double missing, double ratePerNano, double share, long nowNanos) {
        double ownRate = Math.max(1e-12, ratePerNano * share);
        mTokens = Math.max(0, mTokens - (nowNanos - mUpdatedAt) * ownRate);
        mUpdatedAt = nowNanos;
        double wait = missing / Math.max(1e-12, ratePerNano) + mTokens / ownRate;
        mTokens += tokens;
        return Duration.ofNanos((long) Math.min(wait, MAX_RETRY_DELAY_NANOS));
    }
}
