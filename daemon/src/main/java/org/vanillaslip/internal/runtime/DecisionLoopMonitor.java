package org.vanillaslip.internal.runtime;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LifecycleEvent;

/** Logs when the decision loop stood still, because all calls of the host were late by as much. */
public final class DecisionLoopMonitor {

    private static final Duration PERIOD = Duration.ofMillis(250);

    /** A shorter pause leaves most callers within their objective. */
    private static final Duration NOTABLE = Duration.ofMillis(500);

    /** What was read this late may be for callers that have left. */
    private static final long BEHIND_NANOS = Duration.ofMillis(100).toNanos();

    /** After a pause the loop works off what has come meanwhile. */
    private static final long CATCH_UP_NANOS = Duration.ofSeconds(1).toNanos();

    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private long mExpectedAt;
    private long mLateAt;

    /** Creates a watch that is not started. */
    public DecisionLoopMonitor(DecisionLoop loop, EventLog log) {
        mLoop = loop;
        mLog = log;
        mExpectedAt = Long.MAX_VALUE;
        mLateAt = loop.clock().nowNanos() - CATCH_UP_NANOS;
    }

    /** Starts to watch. */
    public void start() {
        later();
    }

    /** Returns whether the loop stands still, or has done so a short while ago. */
    public boolean isBehind() {
        long now = mLoop.clock().nowNanos();
        boolean overdue = mExpectedAt != Long.MAX_VALUE && now - mExpectedAt >= BEHIND_NANOS;
        return overdue || now - mLateAt < CATCH_UP_NANOS;
    }

    private void later() {
        mExpectedAt = mLoop.clock().nowNanos() + PERIOD.toNanos();
        mLoop.scheduler().schedule(this::check, PERIOD.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void check() {
        long late = mLoop.clock().nowNanos() - mExpectedAt;
        if (late >= BEHIND_NANOS) {
            mLateAt = mLoop.clock().nowNanos();
        }
        if (late >= NOTABLE.toNanos()) {
            mLog.log(
                    LifecycleEvent.LOOP_PAUSED,
                    field("late_ms", TimeUnit.NANOSECONDS.toMillis(late)));
        }
        later();
    }
}
