package org.vanillaslip.internal.quota;

/** Tokens per second that callers request from this host, averaged over the last seconds. */
final class DemandAverage {

    private static final double AVERAGING_NANOS = 2e9;

    private double mTokens;
    private long mUpdatedAt;

    DemandAverage(long nowNanos) {
        mUpdatedAt = nowNanos;
    }

    void add(long tokens, long nowNanos) {
        mTokens = decayed(nowNanos) + tokens;
        mUpdatedAt = nowNanos;
    }

    long perSecond(long nowNanos) {
        return (long) (decayed(nowNanos) * 1e9 / AVERAGING_NANOS);
    }

    private double decayed(long nowNanos) {
        return mTokens * Math.exp(-(nowNanos - mUpdatedAt) / AVERAGING_NANOS);
    }
}
