package org.vanillaslip.internal.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tracks the smallest headroom (free space) of a bucket since each charge. A refund may only use
 * headroom that existed during the whole time since the charge: if the bucket was full in between,
 * the refunded tokens would have been lost to overflow.
 */
final class HeadroomHistory {

    /** Bounds memory; charges older than the oldest sample get no refund. */
    private static final int MAX_SAMPLES = 1024;

    private final Deque<long[]> mSamples = new ArrayDeque<>();
    private long mSequence;
    private long mDroppedUpTo;

    /** Records the headroom just before it grows and returns the sequence number of this sample. */
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

    /** Returns the smallest headroom after the given sample, at most the current headroom. */
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

    /** Subtracts a refund from all recorded headroom. */
    void subtract(long amount) {
        mSamples.forEach(sample -> sample[1] -= amount);
    }

    /** Drops all samples because the capacity changed. */
    void clear() {
        mSamples.clear();
        mSequence++;
        mDroppedUpTo = mSequence;
    }
}
