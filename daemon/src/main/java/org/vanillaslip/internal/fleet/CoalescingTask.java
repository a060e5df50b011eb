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
     * @param pause time from an event to the run in which others may come, for any fleet
     * @param pausePerHost what each host adds to it
     */
    CoalescingTask(
            Duration pause,
            Duration pausePerHost,
            Duration longestPause,
            IntSupplier hosts,
            Runnable task,
            DecisionLoop loop) {
        mDelay = pause;
        mDelayPerHost = pausePerHost;
        mMaxDelay = longestPause;
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
        Duration pause = mDelay.plus(mDelayPerHost.multipliedBy(mHosts.getAsInt()));
        long delay = Math.min(pause.toNanos(), mMaxDelay.toNanos());
        mLoop.scheduler().schedule(this::run, delay, TimeUnit.NANOSECONDS);
    }

    private void run() {
        mScheduled = false;
        mTask.run();
    }
}
