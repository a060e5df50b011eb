package org.vanillaslip.internal.routing;

import java.time.Duration;

/**
 * Times at which all hosts together may send to a server that limits its requests. Times that pass
 * unused are lost, so that idle time never allows a burst.
 */
public final class SendSchedule {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MAX_INTERVAL_NANOS = Duration.ofMinutes(10).toNanos();

    private long mLastTimeNanos;

    /**
     * Creates a schedule whose first time is one interval after its start.
     *
     * @param startNanos time until which another host may still send by an earlier schedule
     */
    public SendSchedule(long startNanos) {
        mLastTimeNanos = startNanos;
    }

    /** Leaves out the times until another host, which has lent sends meanwhile, sends no more. */
    public void resumeAt(long startNanos) {
        mLastTimeNanos = Math.max(mLastTimeNanos, startNanos);
    }

    /** Returns the next free time at the given rate. */
    public long nextTime(double perSecond, long nowNanos) {
        double interval = Math.min(MAX_INTERVAL_NANOS, NANOS_PER_SECOND / perSecond);
        long next = mLastTimeNanos + (long) interval;
        return next - nowNanos < 0 ? nowNanos : next;
    }

    /** Takes a free time, so that the next one is an interval later. */
    public void take(long timeNanos) {
        mLastTimeNanos = timeNanos;
    }
}
