package org.vanillaslip.internal.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.usage.UsageSnapshot;
import org.vanillaslip.internal.usage.UsageWindows;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Guards against calls that are counted twice, not at all, or in another window. */
class UsageMeterTest {

    private static final long FIRST = 1000;

    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create(true);
    private final UsageMeter mMeter =
            new UsageMeter(
                    new UsageWindows(Duration.ofSeconds(5)),
                    () ->
                            Instant.ofEpochMilli(
                                    FIRST * 5000 + mScheduler.now(TimeUnit.MILLISECONDS)),
                    new DecisionLoop(mScheduler, () -> mScheduler.now(TimeUnit.NANOSECONDS)));

    @Test
    void aCallCountsWhenItsServerBeganToRunIt() {
        CallUsage call = mMeter.begin("w", false);
        call.recordSend("a");
        advance(Duration.ofSeconds(7));
        call.recordAnswer("a");

        assertThat(calls()).isEqualTo(Map.of(FIRST, 1L, FIRST + 1, 0L));
    }

    /** Guards against long calls that are lacking in the report of their window. */
    @Test
    void aCallCountsBeforeItsAnswer() {
        mMeter.begin("w", false).recordSend("a");

        assertThat(calls()).isEqualTo(Map.of(FIRST, 1L));
    }

    @Test
    void aCallThatMovedCountsAtTheServerThatAnsweredIt() {
        CallUsage call = mMeter.begin("w", false);
        call.recordSend("a");
        advance(Duration.ofSeconds(5));
        call.recordSendFailed("a", false);
        call.recordSend("b");
        call.recordAnswer("b");
        call.recordCancelled("b");

        assertThat(calls()).isEqualTo(Map.of(FIRST, 0L, FIRST + 1, 1L));
    }

    /** Guards against a call that is counted again after its first window was reported. */
    @Test
    void aCallThatMovedAfterItsWindowWasReportedIsNotCountedAgain() {
        CallUsage call = mMeter.begin("w", false);
        call.recordSend("a");
        advance(Duration.ofSeconds(5));
        mMeter.counts().setClosedThrough(FIRST);
        call.recordSendFailed("a", false);
        call.recordSend("b");
        call.recordAnswer("b");

        assertThat(calls()).containsEntry(FIRST + 1, 0L);
    }

    @Test
    void aCallWithAStandbyCountsOnceAtTheServerThatAnswered() {
        CallUsage call = mMeter.begin("w", false);
        call.recordSend("a");
        advance(Duration.ofSeconds(5));
        call.recordSend("b");
        call.recordAnswer("b");
        call.recordCancelled("a");

        assertThat(calls()).isEqualTo(Map.of(FIRST, 0L, FIRST + 1, 1L));
    }

    @Test
    void aCallThatNoServerAnsweredDoesNotCount() {
        CallUsage call = mMeter.begin("w", false);
        call.recordSend("a");
        call.recordSendFailed("a", false);

        assertThat(calls()).isEqualTo(Map.of(FIRST, 0L));
    }

    /** Guards against calls that are lacking because their server failed while it ran them. */
    @Test
    void aCallWhoseServerFailedAfterItMayHaveBegunCounts() {
        CallUsage call = mMeter.begin("w", false);
        call.recordSend("a");
        call.recordSendFailed("a", true);
        advance(Duration.ofSeconds(5));
        call.recordSend("b");
        call.recordSendFailed("b", false);

        assertThat(calls()).isEqualTo(Map.of(FIRST, 1L, FIRST + 1, 0L));
    }

    /** Guards against a count in the window of a server that did not answer. */
    @Test
    void aCallThatMovedFromAServerThatMayHaveBegunCountsOnceWhereItIsAnswered() {
        CallUsage call = mMeter.begin("w", false);
        call.recordSend("a");
        call.recordSendFailed("a", true);
        advance(Duration.ofSeconds(5));
        call.recordSend("b");
        call.recordAnswer("b");

        assertThat(calls()).isEqualTo(Map.of(FIRST, 0L, FIRST + 1, 1L));
    }

    @Test
    void aCallThatItsCallerLeavesCounts() {
        CallUsage call = mMeter.begin("w", false);
        call.recordSend("a");
        call.recordCancelled("a");

        assertThat(calls()).isEqualTo(Map.of(FIRST, 1L));
    }

    @Test
    void aStreamCountsOnceAtItsFirstEvent() {
        CallUsage stream = mMeter.begin("w", true);
        stream.recordSend("a");
        advance(Duration.ofSeconds(5));
        stream.recordFirstEvent();
        stream.recordSendFailed("a", true);
        advance(Duration.ofSeconds(5));
        stream.recordSend("b");
        stream.recordFirstEvent();

        assertThat(calls()).isEqualTo(Map.of(FIRST, 0L, FIRST + 1, 1L, FIRST + 2, 0L));
    }

    private void advance(Duration time) {
        mScheduler.advanceTimeBy(time);
        mMeter.update();
    }

    private Map<Long, Long> calls() {
        Map<Long, Long> calls = new TreeMap<>();
        mMeter.counts().resend();
        mMeter.counts()
                .takeDue(mScheduler.now(TimeUnit.NANOSECONDS), Duration.ZERO)
                .forEach((UsageSnapshot window) -> calls.put(window.window(), window.calls()));
        return calls;
    }
}
