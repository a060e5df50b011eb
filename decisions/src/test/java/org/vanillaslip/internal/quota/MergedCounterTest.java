package org.vanillaslip.internal.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against use that is counted twice, or not at all, when two relays report it. */
class MergedCounterTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final MergedCounter mCounter = new MergedCounter();

    @Test
    void useReportedByTwoRelaysIsCountedOnce() {
        report("a", 100, 0);
        report("b", 7100, 0);
        report("a", 150, 1);
        report("b", 7150, 1);

        assertThat(report("b", 7150, 1)).isEqualTo(50);
    }

    @Test
    void theHighestRelayCountDeterminesTheTotal() {
        report("a", 100, 0);
        report("b", 100, 0);

        assertThat(report("b", 180, 1)).isEqualTo(80);
        assertThat(report("a", 140, 1)).isEqualTo(80);
    }

    @Test
    void aRestartedRelayCountsFromItsStart() {
        report("a/1", 100, 0);
        report("a/1", 150, 1);
        report("a/2", 0, 2);

        assertThat(report("a/2", 30, 3)).isEqualTo(80);
    }

    /**
     * Guards against use that isn't counted until a lagging relay has caught up with a lost one.
     */
    @Test
    void aLaggingRelayIsCountedOnceTheLeadingRelayIsLost() {
        report("a", 0, 0);
        report("b", 0, 0);
        report("a", 100_000, 1);
        report("b", 10, 1);

        assertThat(report("b", 510, 3)).isEqualTo(100_500);
    }

    private long report(String relay, long reported, int seconds) {
        return mCounter.update(relay, reported, seconds * SECOND);
    }
}
