package org.vanillaslip.internal.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongUnaryOperator;

/** Limits retries in relation to the number of recent requests, to avoid retry storms. */
public final class RetryBudget {

    private static final int REQUESTS_PER_RETRY = 10;
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final int SLICES = 10;

    private final LongUnaryOperator mMaxRetries;
    private final long mWindowNanos;
    private final Deque<Slice> mSlices = new ArrayDeque<>();

    /** Creates a budget of 10% of the requests of the last ten seconds, but at least one retry. */
    public RetryBudget() {
        this(requests -> Math.max(1, requests / REQUESTS_PER_RETRY), WINDOW);
    }

    /**
     * Creates a budget.
     *
     * @param maxRetries maps the number of requests in a window to the maximum number of retries
     */
    public RetryBudget(LongUnaryOperator maxRetries, Duration window) {
        mMaxRetries = maxRetries;
        mWindowNanos = window.toNanos();
    }

    /** Counts a request, without its retries. */
    public void recordRequest(long nowNanos) {
        currentSlice(nowNanos).mRequests++;
    }

    /** Takes a retry from the budget; returns false when the budget is exhausted. */
    public boolean tryAcquire(long nowNanos) {
        Slice slice = currentSlice(nowNanos);
        long requests = mSlices.stream().mapToLong(recent -> recent.mRequests).sum();
        long retries = mSlices.stream().mapToLong(recent -> recent.mRetries).sum();
        if (retries >= mMaxRetries.applyAsLong(requests)) {
            return false;
        }
        slice.mRetries++;
        return true;
    }

    private Slice currentSlice(long nowNanos) {
        while (!mSlices.isEmpty() && nowNanos - mSlices.getFirst().mStart >= mWindowNanos) {
            mSlices.removeFirst();
        }
        if (mSlices.isEmpty() || nowNanos - mSlices.getLast().mStart >= mWindowNanos / SLICES) {
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
