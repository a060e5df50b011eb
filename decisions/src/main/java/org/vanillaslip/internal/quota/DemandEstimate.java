package org.vanillaslip.internal.quota;

/** Recent use of a limit on this host, which sizes the reserve that is held ahead of demand. */
final class DemandEstimate {

    /** Use older than a few of these no longer counts, so idle workspaces hold no reserve. */
    private static final double DECAY_NANOS = 1e9;

    /** The reserve covers this much recent use, several times a round trip between hosts. */
    private static final double RESERVE_COVERAGE_NANOS = 0.25e9;

    private double mDecayedDemand;
    private long mUpdatedAt;
    private long mLastAmount;

    void add(long amount, long nowNanos) {
        mDecayedDemand = decayedDemand(nowNanos) + amount;
        mUpdatedAt = nowNanos;
        mLastAmount = amount;
    }

    /** A reserve below one charge would serve none and only be fetched and returned. */
    long reserve(long nowNanos) {
        long reserve = (long) (decayedDemand(nowNanos) * RESERVE_COVERAGE_NANOS / DECAY_NANOS);
        return reserve < mLastAmount ? 0 : reserve;
    }

    private double decayedDemand(long nowNanos) {
        return mDecayedDemand * Math.exp(-(nowNanos - mUpdatedAt) / DECAY_NANOS);
    }
}
