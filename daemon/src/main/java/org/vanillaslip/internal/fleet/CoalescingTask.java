package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.vanillaslip.internal.runtime.DecisionLoop;

/** A task that follows events; a larger fleet, which has more of them, gathers more for one run. */
final class CoalescingTask {

    private final Duration mDelay;
    private final Duration mDelayPerHost;
    private final Duration mMaxDelay;
    private final IntSupplier mHosts;
    private final Runnable mTask;
    private final DecisionLoop mLoop;
    private boolean mScheduled;

    /**
     * Creates a gathering without events.
     *
     * @param delay time from an event to the run in which others may come, for any fleet
     * @param delayPerHost what each host adds to it
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

    /** Runs the task after the pause. */
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
