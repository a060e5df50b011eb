package org.vanillaslip.internal.quota;

/** Estimate of the tokens in another host's bucket. */
final class OwnerEstimate {

    private long mLevel;
    private long mUpdatedAt;
    private long mBlockedUntil;

    OwnerEstimate(long level, long nowNanos) {
        mLevel = level;
        mUpdatedAt = nowNanos;
        mBlockedUntil = nowNanos;
    }

    long level(OwnerShare share, long nowNanos) {
        if (nowNanos < mBlockedUntil) {
            return 0;
        }
        double gained = (nowNanos - mUpdatedAt) * share.ratePerSecond() / 1e9;
        return Math.min(share.capacity(), mLevel + (long) gained);
    }

    void set(long level, long nowNanos) {
        mLevel = level;
        mUpdatedAt = nowNanos;
    }

    void block(long untilNanos) {
        mBlockedUntil = untilNanos;
    }
}
