package org.vanillaslip.internal.usage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.groups.Tuple.tuple;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against counts that the lease holder does not learn, or learns too often. */
class HostUsageTest {

    private static final long SECOND = 1_000_000_000L;
    private static final Duration INTERVAL = Duration.ofMillis(300);

    private final HostUsage mUsage = new HostUsage(new UsageWindows(Duration.ofSeconds(5)));
    private long mSeconds = 500;

    @Test
    void aWindowWithoutCallsIsReportedAsCompleteAfterItsEnd() {
        advance(5);
        advance(5);

        assertThat(due(INTERVAL))
                .extracting(UsageSnapshot::window, UsageSnapshot::complete)
                .containsExactly(tuple(101L, true), tuple(102L, false));
    }

    @Test
    void whatIsNotClosedIsRepeatedEachSecondAndAtOnceForAnotherHolder() {
        advance(5);
        advance(5);
        due(Duration.ofSeconds(9));

        assertThat(due(Duration.ofSeconds(9))).isEmpty();
        advance(1);
        assertThat(due(Duration.ofSeconds(9)))
                .extracting(UsageSnapshot::window)
                .containsExactly(101L);
        mUsage.resend();
        assertThat(due(Duration.ofSeconds(9))).hasSize(2);
        mUsage.setClosedThrough(101);
        advance(2);
        assertThat(due(INTERVAL)).extracting(UsageSnapshot::window).containsExactly(102L);
    }

    @Test
    void keepsTheWindowsOfTheLastThirtySeconds() {
        advance(0);
        mUsage.add(100, "w");
        mUsage.setClosedThrough(100);
        for (int window = 0; window < 5; window++) {
            advance(5);
        }
        mUsage.setClosedThrough(98);

        assertThat(due(INTERVAL))
                .filteredOn(window -> window.window() == 100)
                .extracting(UsageSnapshot::calls)
                .containsExactly(1L);
    }

    /** Guards against memory and messages that grow while no host collects. */
    @Test
    void keepsABoundedNumberOfWindowsThatAreNotClosed() {
        for (int window = 0; window < 200; window++) {
            advance(5);
        }

        List<UsageSnapshot> due = due(INTERVAL);
        assertThat(due).hasSize(5);
        assertThat(due.get(0).window()).isEqualTo(mUsage.currentWindow() - 60);
    }

    private void advance(long seconds) {
        mSeconds += seconds;
        mUsage.update(mSeconds * 1000 + 500);
    }

    private List<UsageSnapshot> due(Duration interval) {
        return mUsage.takeDue(mSeconds * SECOND, interval);
    }
}
