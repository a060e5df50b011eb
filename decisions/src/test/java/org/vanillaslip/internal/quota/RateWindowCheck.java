package org.vanillaslip.internal.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks all time windows at once: the tokens spent in every window are within burst + rate x
 * length if and only if a token bucket that starts full never falls below zero.
 */
final class RateWindowCheck {

    private final List<long[]> mSpends = new ArrayList<>();
    private final double mRatePerNano;
    private final double mBurst;
    private int mCheckedUpTo;
    private double mLevel;
    private long mCheckedAt;

    RateWindowCheck(double ratePerSecond, long burst) {
        mRatePerNano = ratePerSecond / 1e9;
        mBurst = burst;
        mLevel = burst;
    }

    /** Records spent tokens and returns the index of the record. */
    int spend(long amount, long nowNanos) {
        mSpends.add(new long[] {nowNanos, amount});
        return mSpends.size() - 1;
    }

    /** Subtracts unused tokens from an earlier record; all windows are checked again. */
    void refund(int index, long amount) {
        mSpends.get(index)[1] -= amount;
        mCheckedUpTo = 0;
        mCheckedAt = 0;
        mLevel = mBurst;
    }

    /** Fails if too many tokens were spent in any window up to now. */
    void verify(String context) {
        for (; mCheckedUpTo < mSpends.size(); mCheckedUpTo++) {
            long[] spend = mSpends.get(mCheckedUpTo);
            mLevel = Math.min(mBurst, mLevel + (spend[0] - mCheckedAt) * mRatePerNano) - spend[1];
            mCheckedAt = spend[0];
            // Allows for one micro-token of rounding in the reference bucket.
            if (mLevel < -1) {
                throw new AssertionError(
                        "rate-bound: %s: over the limit by %.0f micro-tokens at %d ms, record %d"
                                .formatted(context, -mLevel, spend[0] / 1_000_000, mCheckedUpTo));
            }
        }
    }

    long total() {
        return mSpends.stream().mapToLong(spend -> spend[1]).sum();
    }
}
