package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.vanillaslip.internal.runtime.DecisionLoop;

/** A task that follows events; a larger fleet, which has more of them, gathers more for one run. */
final class CoalescingTask {

    private final Duration mPause;
    private final Duration mPausePerHost;
    private final Duration mLongestPause;
    private final IntSupplier mHosts;
    private final Runnable mTask;
    private final DecisionLoop mLoop;
    private boolean mSoon;

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
        mPause = pause;
        mPausePerHost = pausePerHost;
        mLongestPause = longestPause;
        mHosts = hosts;
        mTask = task;
        mLoop = loop;
    }

    /** Runs the task after the pause. */
    void soon() {
        if (mSoon) {
            return;
        }
        mSoon = true;
        Duration pause = mPause.plus(mPausePerHost.multipliedBy(mHosts.getAsInt()));
        long delay = Math.min(pause.toNanos(), mLongestPause.toNanos());
        mLoop.scheduler().schedule(this::run, delay, TimeUnit.NANOSECONDS);
    }

    private void run() {
        mSoon = false;
        mTask.run();
    }
}
