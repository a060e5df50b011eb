package org.vanillaslip.internal.quota;

/**
 * Recent demand for a limit on this host. It determines the reserve that is borrowed ahead of
 * demand.
 */
final class DemandEstimate {

    /**
     * Time constant of the exponential decay. Demand older than a few of these hardly counts, so
     * idle workspaces hold no reserve.
     */
    private static final double DECAY_NANOS = 1e9;

    /** The reserve covers the demand of this time, several times a round trip between hosts. */
    private static final double RESERVE_COVERAGE_NANOS = 0.25e9;

    private double mDecayedDemand;
    private long mUpdatedAt;
    private long mLastAmount;

    void add(long amount, long nowNanos) {
        mDecayedDemand = decayedDemand(nowNanos) + amount;
        mUpdatedAt = nowNanos;
        mLastAmount = amount;
    }

    /**
     * Returns the reserve, or 0 if it is smaller than the last charge: such a reserve could not
     * serve the next charge and would only be borrowed and returned.
     */
    long reserve(long nowNanos) {
        long reserve = (long) (decayedDemand(nowNanos) * RESERVE_COVERAGE_NANOS / DECAY_NANOS);
        return reserve < mLastAmount ? 0 : reserve;
    }

    private double decayedDemand(long nowNanos) {
        return mDecayedDemand * Math.exp(-(nowNanos - mUpdatedAt) / DECAY_NANOS);
    }
}
