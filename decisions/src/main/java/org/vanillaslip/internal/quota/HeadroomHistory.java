package org.vanillaslip.internal.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Smallest free space of a bucket since each charge. A refund may only use space that was free ever
 * since the charge: space that was full in between would have lost the refunded tokens to overflow.
 */
final class HeadroomHistory {

    /** Bounds memory; older charges get no refund. */
    private static final int MAX_SAMPLES = 1024;

    private final Deque<long[]> mSamples = new ArrayDeque<>();
    private long mSequence;
    private long mDroppedUpTo;

    /** Records the free space just before it grows and returns the number of this sample. */
    long record(long headroom) {
        while (!mSamples.isEmpty() && mSamples.getLast()[1] >= headroom) {
            mSamples.removeLast();
        }
        mSequence++;
        mSamples.addLast(new long[] {mSequence, headroom});
        if (mSamples.size() > MAX_SAMPLES) {
            mDroppedUpTo = mSamples.removeFirst()[0];
        }
        return mSequence;
    }

    /** Returns the smallest free space after the given sample, at most the current one. */
    long smallestAfter(long sequence, long headroom) {
        if (sequence < mDroppedUpTo) {
            return 0;
        }
        for (long[] sample : mSamples) {
            if (sample[0] > sequence) {
                return Math.max(0, Math.min(sample[1], headroom));
            }
        }
        return Math.max(0, headroom);
    }

    /** Takes a refund out of all recorded free space. */
    void subtract(long amount) {
        mSamples.forEach(sample -> sample[1] -= amount);
    }

    /** Forgets all samples, because the capacity changed. */
    void clear() {
        mSamples.clear();
        mSequence++;
        mDroppedUpTo = mSequence;
    }
}
