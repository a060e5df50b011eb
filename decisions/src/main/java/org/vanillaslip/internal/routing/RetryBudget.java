package org.vanillaslip.internal.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Allows retries up to 10% of the requests of the last ten seconds, and always at least one. */
public final class RetryBudget {

    private static final int REQUESTS_PER_RETRY = 10;
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long SLICE_NANOS = WINDOW_NANOS / 10;

    private final Deque<Slice> mSlices = new ArrayDeque<>();

    /** Counts a first try. */
    public void recordRequest(long nowNanos) {
        current(nowNanos).mRequests++;
    }

    /** Takes a retry out of the budget if there is one. */
    public boolean tryRetry(long nowNanos) {
        Slice slice = current(nowNanos);
        long requests = mSlices.stream().mapToLong(recent -> recent.mRequests).sum();
        long retries = mSlices.stream().mapToLong(recent -> recent.mRetries).sum();
        if (retries >= Math.max(1, requests / REQUESTS_PER_RETRY)) {
            return false;
        }
        slice.mRetries++;
        return true;
    }

    private Slice current(long nowNanos) {
        while (!mSlices.isEmpty() && nowNanos - mSlices.getFirst().mStart >= WINDOW_NANOS) {
            mSlices.removeFirst();
        }
        if (mSlices.isEmpty() || nowNanos - mSlices.getLast().mStart >= SLICE_NANOS) {
            mSlices.addLast(new Slice(nowNanos));
        }
        return mSlices.getLast();
    }

    private static final class Slice {
        private final long mStart;
        private long mRequests;
        private long mRetries;

        Slice(long start) {
            mStart = start;
        }
    }
}
