package org.vanillaslip.internal.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.OptionalLong;

/** This host's permits to send to one server that limits its requests. */
public final class SendPermits {

    /** A permit that is not used within this time has expired; longer ones allow bursts. */
    public static final Duration VALIDITY = Duration.ofMillis(500);

    private static final long VALIDITY_NANOS = VALIDITY.toNanos();

    /** More permits ahead would only keep them from other hosts. */
    private static final int MAX_PERMITS = 8;

    /** Interval of requests for a permit after one was refused or lost. */
    private static final long MIN_RETRY_NANOS = Duration.ofMillis(100).toNanos();

    /** A request without a result for this long is lost, whatever became of it. */
    private static final long REQUEST_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

    private final ArrayDeque<Long> mTimes = new ArrayDeque<>();
    private OptionalLong mNextFreeTime = OptionalLong.empty();
    private long mNextRequestAt = Long.MIN_VALUE / 2;
    private long mRequestedAt;
    private boolean mRequested;

    /** Returns whether a call may be sent now. */
    public boolean isUsable(long nowNanos) {
        dropExpired(nowNanos);
        Long first = mTimes.peekFirst();
        return first != null && nowNanos - first >= 0;
    }

    /** Uses the permit for a call that is about to be sent. */
    public void use(long nowNanos) {
        if (isUsable(nowNanos)) {
            mTimes.removeFirst();
        }
    }

    /**
     * Returns whether another permit should be requested.
     *
     * @param calls calls that wait for permits
     */
    public boolean isRequestDue(int calls, long nowNanos) {
        dropExpired(nowNanos);
        boolean requested = mRequested && nowNanos - mRequestedAt < REQUEST_TIMEOUT_NANOS;
        return !requested
                && mTimes.size() < Math.min(calls, MAX_PERMITS)
                && nowNanos - mNextRequestAt >= 0;
    }

    /** Records that a permit has been requested. */
    public void recordRequest(long nowNanos) {
        mRequested = true;
        mRequestedAt = nowNanos;
    }

    /** Records a granted permit that may be used from the given time on. */
    public void recordGrant(long timeNanos) {
        mRequested = false;
        mNextFreeTime = OptionalLong.empty();
        mTimes.addLast(timeNanos);
    }

    /**
     * Records that all times within the requested one are taken.
     *
     * @param nextFreeNanos the next time that is free
     * @param withinNanos how far ahead a time can be reserved
     */
    public void recordRefusal(long nextFreeNanos, long withinNanos, long nowNanos) {
        mRequested = false;
        mNextFreeTime = OptionalLong.of(nextFreeNanos);
        mNextRequestAt = Math.max(nowNanos + MIN_RETRY_NANOS, nextFreeNanos - withinNanos);
    }

    /** Records that the request got no reply. */
    public void recordNoReply(long nowNanos) {
        mRequested = false;
        mNextFreeTime = OptionalLong.empty();
        mNextRequestAt = nowNanos + MIN_RETRY_NANOS;
    }

    /** Returns the time of the next send that this host can expect, if it knows one. */
    public OptionalLong nextTime(long nowNanos) {
        dropExpired(nowNanos);
        Long first = mTimes.peekFirst();
        if (first != null) {
            return OptionalLong.of(first);
        }
        boolean known = mNextFreeTime.isPresent() && mNextFreeTime.getAsLong() - nowNanos > 0;
        return known ? mNextFreeTime : OptionalLong.empty();
    }

    private void dropExpired(long nowNanos) {
        while (!mTimes.isEmpty() && nowNanos - mTimes.peekFirst() > VALIDITY_NANOS) {
            mTimes.removeFirst();
        }
    }
}
