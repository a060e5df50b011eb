package org.vanillaslip.internal.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.logging.LifecycleEvent;
import org.vanillaslip.internal.logging.LogEvent;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Guards against a stall that delays all calls without a log event that explains it. */
class DecisionLoopMonitorTest {

    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create(true);
    private final AtomicLong mPausedNanos = new AtomicLong();
    private final List<LogEvent> mEvents = new ArrayList<>();

    @Test
    void aStalledLoopIsLogged() {
        startMonitor();
        mScheduler.advanceTimeBy(Duration.ofSeconds(2));
        assertThat(mEvents).isEmpty();

        mPausedNanos.addAndGet(Duration.ofSeconds(3).toNanos());
        mScheduler.advanceTimeBy(Duration.ofSeconds(2));
        assertThat(mEvents).containsExactly(LifecycleEvent.LOOP_PAUSED);
    }

    private void startMonitor() {
        DecisionLoop loop =
                new DecisionLoop(
                        mScheduler,
                        () -> mScheduler.now(TimeUnit.NANOSECONDS) + mPausedNanos.get());
        new DecisionLoopMonitor(loop, (event, fields) -> mEvents.add(event)).start();
    }
}
