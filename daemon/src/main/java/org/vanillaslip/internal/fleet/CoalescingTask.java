package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.vanillaslip.internal.runtime.DecisionLoop;

/**
 * Runs a task once for all events within a delay. The delay grows with the number of hosts, since a
 * larger fleet causes more events.
 */
final class CoalescingTask {

    private final Duration mDelay;
    private final Duration mDelayPerHost;
    private final Duration mMaxDelay;
    private final IntSupplier mHosts;
    private final Runnable mTask;
    private final DecisionLoop mLoop;
    private boolean mScheduled;

    /**
     * Creates a task that is not scheduled.
     *
     * @param delay time from the first event to the run, for a fleet of any size
     * @param delayPerHost time that each host adds to the delay
     * @param maxDelay upper bound of the delay
     */
    CoalescingTask(
            Duration delay,
            Duration delayPerHost,
            Duration maxDelay,
            IntSupplier hosts,
            Runnable task,
            DecisionLoop loop) {
        mDelay = delay;
        mDelayPerHost = delayPerHost;
        mMaxDelay = maxDelay;
        mHosts = hosts;
        mTask = task;
        mLoop = loop;
    }

    /** Schedules a run after the delay, unless one is scheduled. */
    void schedule() {
        if (mScheduled) {
            return;
        }
        mScheduled = true;
        Duration delay = mDelay.plus(mDelayPerHost.multipliedBy(mHosts.getAsInt()));
        long delayNanos = Math.min(delay.toNanos(), mMaxDelay.toNanos());
        mLoop.scheduler().schedule(this::run, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void run() {
        mScheduled = false;
        mTask.run();
    }
}
