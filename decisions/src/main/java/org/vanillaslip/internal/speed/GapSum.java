package org.vanillaslip.internal.speed;

import java.time.Duration;

/** Exponentially decayed number and sum of the event gaps of a server with one model. */
final class GapSum {

    /** Long enough for 20 gaps on a server with few calls, short enough to follow a slowdown. */
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(10).toNanos();

    private double mCount;
    private double mSumMillis;
    private long mDecayedAt;
    private long mLastGapAt;

    GapSum(long nowNanos) {
        mDecayedAt = nowNanos;
        mLastGapAt = nowNanos;
    }

    void add(long count, double sumMillis, long nowNanos) {
        decay(nowNanos);
        mCount += count;
        mSumMillis += sumMillis;
        mLastGapAt = nowNanos;
    }

    void decay(long nowNanos) {
        double factor = Math.pow(0.5, Math.max(0, nowNanos - mDecayedAt) / HALF_LIFE_NANOS);
        mCount *= factor;
        mSumMillis *= factor;
        mDecayedAt = nowNanos;
    }

    double count() {
        return mCount;
    }

    double meanMillis() {
        return mSumMillis / mCount;
    }

    long lastGapAt() {
        return mLastGapAt;
    }
}
