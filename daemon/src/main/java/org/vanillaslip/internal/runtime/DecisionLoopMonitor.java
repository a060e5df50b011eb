package org.vanillaslip.internal.runtime;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LifecycleEvent;

/** Detects and logs stalls of the decision loop, which delay all calls of the host. */
public final class DecisionLoopMonitor {

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    /** Most callers still meet their latency objective after a shorter stall. */
    private static final Duration LOG_THRESHOLD = Duration.ofMillis(500);

    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private long mExpectedNanos;

    /** Creates a monitor without starting it. */
    public DecisionLoopMonitor(DecisionLoop loop, EventLog log) {
        mLoop = loop;
        mLog = log;
        mExpectedNanos = Long.MAX_VALUE;
    }

    /** Starts the periodic checks. */
    public void start() {
        scheduleCheck();
    }

    private void scheduleCheck() {
        mExpectedNanos = mLoop.clock().nowNanos() + CHECK_INTERVAL.toNanos();
        mLoop.scheduler().schedule(this::check, CHECK_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void check() {
        long lateNanos = mLoop.clock().nowNanos() - mExpectedNanos;
        if (lateNanos >= LOG_THRESHOLD.toNanos()) {
            mLog.log(
                    LifecycleEvent.LOOP_PAUSED,
                    field("late_ms", TimeUnit.NANOSECONDS.toMillis(lateNanos)));
        }
        scheduleCheck();
    }
}
