package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Guards against relays that spend their CPU time on digests and forward them late. */
class CoalescingTaskTest {

    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create();
    private final DecisionLoop mLoop =
            new DecisionLoop(mScheduler, () -> mScheduler.now(TimeUnit.NANOSECONDS));

    /** Bounds the messages per second that all hosts receive for the digests of a busy holder. */
    @ParameterizedTest
    @CsvSource({"6, 900", "95, 2000", "600, 3000"})
    void aBusyHolderSendsFewDigests(int hosts, int maxCount) {
        AtomicInteger digests = new AtomicInteger();
        CoalescingTask task =
                FleetExchange.digestTask(() -> hosts, digests::incrementAndGet, mLoop);

        for (int millis = 0; millis < 1000; millis++) {
            task.schedule();
            mScheduler.advanceTimeBy(Duration.ofMillis(1));
        }

        assertThat(digests.get() * hosts).isLessThanOrEqualTo(maxCount);
    }

    /** Guards against a holder that plans each time one of many hosts reports its demand. */
    @ParameterizedTest
    @CsvSource({"6, 250", "95, 50", "600, 20"})
    void demandReportsOfManyHostsArePlannedTogether(int hosts, int maxCount) {
        AtomicInteger plans = new AtomicInteger();
        CoalescingTask task =
                LoadController.planningTask(() -> hosts, plans::incrementAndGet, mLoop);

        for (int millis = 0; millis < 1000; millis++) {
            task.schedule();
            mScheduler.advanceTimeBy(Duration.ofMillis(1));
        }

        assertThat(plans).hasValueLessThanOrEqualTo(maxCount);
    }

    /** Callers wait for a load until their host is notified of its end. */
    @ParameterizedTest
    @CsvSource({"6, 10", "95, 60", "600, 200"})
    void aSingleChangeIsSentWithinTheMaximumDelay(int hosts, int maxMillis) {
        AtomicInteger digests = new AtomicInteger();
        FleetExchange.digestTask(() -> hosts, digests::incrementAndGet, mLoop).schedule();

        mScheduler.advanceTimeBy(Duration.ofMillis(maxMillis));

        assertThat(digests).hasValue(1);
    }
}
