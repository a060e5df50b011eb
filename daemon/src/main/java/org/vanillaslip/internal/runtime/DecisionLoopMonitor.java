package org.vanillaslip.internal.runtime;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LifecycleEvent;

/** Logs when the decision loop stood still, because all calls of the host were late by as much. */
public final class DecisionLoopMonitor {

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    /** A shorter pause leaves most callers within their objective. */
    private static final Duration LOG_THRESHOLD = Duration.ofMillis(500);

    /** What was read this late may be for callers that have left. */
    private static final long LATE_NANOS = Duration.ofMillis(100).toNanos();

    /** After a pause the loop works off what has come meanwhile. */
    private static final long CATCH_UP_NANOS = Duration.ofSeconds(1).toNanos();

    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private long mExpectedNanos;
    private long mLastLateNanos;

    /** Creates a watch that is not started. */
    public DecisionLoopMonitor(DecisionLoop loop, EventLog log) {
        mLoop = loop;
        mLog = log;
        mExpectedNanos = Long.MAX_VALUE;
        mLastLateNanos = loop.clock().nowNanos() - CATCH_UP_NANOS;
    }

    /** Starts to watch. */
    public void start() {
        scheduleCheck();
    }

    /** Returns whether the loop stands still, or has done so a short while ago. */
    public boolean isBehind() {
        long now = mLoop.clock().nowNanos();
        boolean overdue = mExpectedNanos != Long.MAX_VALUE && now - mExpectedNanos >= LATE_NANOS;
        return overdue || now - mLastLateNanos < CATCH_UP_NANOS;
    }

    private void scheduleCheck() {
        mExpectedNanos = mLoop.clock().nowNanos() + CHECK_INTERVAL.toNanos();
        mLoop.scheduler().schedule(this::check, CHECK_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void check() {
        long lateNanos = mLoop.clock().nowNanos() - mExpectedNanos;
        if (lateNanos >= LATE_NANOS) {
            mLastLateNanos = mLoop.clock().nowNanos();
        }
        if (lateNanos >= LOG_THRESHOLD.toNanos()) {
            mLog.log(
                    LifecycleEvent.LOOP_PAUSED,
                    field("late_ms", TimeUnit.NANOSECONDS.toMillis(lateNanos)));
        }
        scheduleCheck();
    }
}
