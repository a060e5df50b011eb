package org.vanillaslip.internal.standins.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/** Counts running requests and reports the count with a lag. */
final class LaggingRequestCounter {

    private final long mLagNanos;
    private final LongSupplier mNanos;
    private final Deque<long[]> mChanges = new ArrayDeque<>();
    private int mRunning;
    private int mReported;

    LaggingRequestCounter(Duration lag, LongSupplier nanos) {
        mLagNanos = lag.toNanos();
        mNanos = nanos;
    }

    synchronized boolean enter(int capacity) {
        if (mRunning >= capacity) {
            return false;
        }
        change(mRunning + 1);
        return true;
    }

    synchronized void leave() {
        change(mRunning - 1);
    }

    private void change(int running) {
        mRunning = running;
        mChanges.addLast(new long[] {mNanos.getAsLong(), running});
        reported();
    }

    /** Returns the number of running requests as of the lag ago. */
    synchronized int reported() {
        long limit = mNanos.getAsLong() - mLagNanos;
        while (!mChanges.isEmpty() && mChanges.getFirst()[0] <= limit) {
            mReported = (int) mChanges.removeFirst()[1];
        }
        return mReported;
    }
}
