package org.vanillaslip.internal.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongUnaryOperator;

/** Limits retries in relation to the number of recent requests, to avoid retry storms. */
public final class RetryBudget {

    private static final int REQUESTS_PER_RETRY = 10;
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final int SLICES = 20;

    private final RetryAllowance mAllowance;
    private final long mWindowNanos;
    private final Deque<Slice> mSlices = new ArrayDeque<>();
    private long mReserved;

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
        this((requests, earlier, nowNanos) -> maxRetries.applyAsLong(requests), window);
    }

    /** Creates a budget with an allowance that may change. */
    public RetryBudget(RetryAllowance allowance, Duration window) {
        mAllowance = allowance;
        mWindowNanos = window.toNanos();
    }

    /** Counts a request, without its retries. */
    public void recordRequest(long nowNanos) {
        currentSlice(nowNanos).mRequests++;
    }

    /** Takes a retry that is sent now; returns false when the budget is exhausted. */
    public boolean tryAcquire(long nowNanos) {
        if (!tryReserve(nowNanos)) {
            return false;
        }
        recordRetry(nowNanos);
        return true;
    }

    /** Reserves a retry that is sent later, if at all; returns false without a free one. */
    public boolean tryReserve(long nowNanos) {
        if (used(nowNanos) >= allowed(nowNanos)) {
            return false;
        }
        mReserved++;
        return true;
    }

    /** Records that a reserved retry is sent; its window begins now. */
    public void recordRetry(long nowNanos) {
        mReserved--;
        Slice slice = currentSlice(nowNanos);
        slice.mRetries++;
        slice.mLastRetryAt = nowNanos;
    }

    /** Gives back a reserved retry that is not sent. */
    public void cancelReservation() {
        mReserved--;
    }

    /** Returns the number of retries that are reserved or may have arrived in the last window. */
    public long used(long nowNanos) {
        // A retry may arrive up to a slice after it was sent.
        long maxAge = mWindowNanos + sliceNanos();
        long recentRetries =
                mSlices.stream()
                        .filter(slice -> nowNanos - slice.mLastRetryAt <= maxAge)
                        .mapToLong(slice -> slice.mRetries)
                        .sum();
        return mReserved + recentRetries;
    }

    /** Returns the number of retries that may be in use now. */
    public long allowed(long nowNanos) {
        long windowStart = nowNanos - mWindowNanos;
        return mAllowance.maxRetries(
                requestsBetween(windowStart, nowNanos),
                requestsBetween(windowStart - mWindowNanos, windowStart - 1),
                nowNanos);
    }

    /** Returns the requests of the slices that start in the time. */
    private long requestsBetween(long first, long last) {
        return mSlices.stream()
                .filter(slice -> slice.mStart - first >= 0 && slice.mStart - last <= 0)
                .mapToLong(slice -> slice.mRequests)
                .sum();
    }

    private long sliceNanos() {
        return mWindowNanos / SLICES;
    }

    private Slice currentSlice(long nowNanos) {
        while (!mSlices.isEmpty()
                && nowNanos - mSlices.getFirst().mStart > 2 * mWindowNanos + sliceNanos()) {
            mSlices.removeFirst();
        }
        if (mSlices.isEmpty() || nowNanos - mSlices.getLast().mStart >= sliceNanos()) {
            mSlices.addLast(new Slice(nowNanos));
        }
        return mSlices.getLast();
    }

    private static final class Slice {
        private final long mStart;
        private long mRequests;
        private long mRetries;
        private long mLastRetryAt;

        Slice(long start) {
            mStart = start;
        }
    }
}
