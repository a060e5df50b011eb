package org.vanillaslip.internal.queue;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Tells the largest tenth of the calls of a kind, and the fifth below it, from the others. */
final class SizeClasses {

    /** Last calls of a kind that are kept: about 13 of them are in the largest tenth. */
    private static final int SAMPLES = 128;

    /** With fewer calls the quantiles are too uncertain. */
    private static final int MIN_SAMPLES = 40;

    /** Number of calls between two renewals of the bounds, which sort the samples. */
    private static final int RENEWAL_INTERVAL = 16;

    /** Quantile above which a call belongs to the largest tenth. */
    private static final double LARGEST = 0.9;

    /** Quantile above which a call belongs to the fifth below the largest tenth. */
    private static final double LARGE = 0.7;

    private final Map<String, Sizes> mKinds = new HashMap<>();

    /** Records the size of a call that has arrived. */
    void recordCall(CallProfile call) {
        if (call.work() > 0) {
            mKinds.computeIfAbsent(call.kind(), kind -> new Sizes()).add(call.work());
        }
    }

    /** Returns the name of the call's class, or empty for calls that are not large. */
    Optional<String> classOf(CallProfile call) {
        Sizes sizes = mKinds.get(call.kind());
        if (sizes == null || sizes.mCount < MIN_SAMPLES || call.work() <= sizes.mLarge) {
            return Optional.empty();
        }
        return Optional.of(call.work() > sizes.mLargest ? "largest" : "large");
    }

    /** The last sizes of a kind, and bounds that are renewed from time to time. */
    private static final class Sizes {
        private final long[] mRecent = new long[SAMPLES];
        private int mCount;
        private long mLargest = Long.MAX_VALUE;
        private long mLarge = Long.MAX_VALUE;

        void add(long work) {
            mRecent[mCount % SAMPLES] = work;
            // Keeps the count small without losing the position in the ring.
            mCount = mCount + 1 == 2 * SAMPLES ? SAMPLES : mCount + 1;
            if (mCount % RENEWAL_INTERVAL == 0 || mCount == MIN_SAMPLES) {
                long[] sorted = Arrays.copyOf(mRecent, Math.min(mCount, SAMPLES));
                Arrays.sort(sorted);
                mLargest = sorted[(int) (sorted.length * LARGEST)];
                mLarge = sorted[(int) (sorted.length * LARGE)];
            }
        }
    }
}
