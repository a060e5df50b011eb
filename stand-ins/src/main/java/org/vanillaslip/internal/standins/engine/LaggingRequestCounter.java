package org.vanillaslip.internal.standins.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/** Counts running requests and reports the count with a delay. */
final class LaggingRequestCounter {

    private final long mLagNanos;
    private final LongSupplier mNanoClock;
    private final Deque<long[]> mChanges = new ArrayDeque<>();
    private int mRunning;
    private int mReported;

    LaggingRequestCounter(Duration lag, LongSupplier nanoClock) {
        mLagNanos = lag.toNanos();
        mNanoClock = nanoClock;
    }

    synchronized boolean tryStartRequest(int capacity) {
        if (mRunning >= capacity) {
            return false;
        }
        setRunning(mRunning + 1);
        return true;
    }

    synchronized void finishRequest() {
        setRunning(mRunning - 1);
    }

    private void setRunning(int running) {
        mRunning = running;
        mChanges.addLast(new long[] {mNanoClock.getAsLong(), running});
        reportedCount();
    }

    /** Returns the number of running requests one lag ago. */
    synchronized int reportedCount() {
        long newestReportedNanos = mNanoClock.getAsLong() - mLagNanos;
        while (!mChanges.isEmpty() && mChanges.getFirst()[0] <= newestReportedNanos) {
            mReported = (int) mChanges.removeFirst()[1];
        }
        return mReported;
    }
}
