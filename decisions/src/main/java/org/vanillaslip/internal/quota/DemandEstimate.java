package org.vanillaslip.internal.quota;

/** Recent use of a limit on this host, which sizes the reserve that is held ahead of demand. */
final class DemandEstimate {

    /** Use older than a few of these no longer counts, so idle workspaces hold no reserve. */
    private static final double MEMORY_NANOS = 1e9;

    /** The reserve covers this much recent use, several times a round trip between hosts. */
    private static final double RESERVE_NANOS = 0.25e9;

    private double mRecent;
    private long mUpdatedAt;
    private long mLast;

    void add(long amount, long nowNanos) {
        mRecent = recent(nowNanos) + amount;
        mUpdatedAt = nowNanos;
        mLast = amount;
    }

    /** A reserve below one charge would serve none and only be fetched and returned. */
    long reserve(long nowNanos) {
        long reserve = (long) (recent(nowNanos) * RESERVE_NANOS / MEMORY_NANOS);
        return reserve < mLast ? 0 : reserve;
    }

    private double recent(long nowNanos) {
        return mRecent * Math.exp(-(nowNanos - mUpdatedAt) / MEMORY_NANOS);
    }
}
