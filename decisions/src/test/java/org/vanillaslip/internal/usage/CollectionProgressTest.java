package org.vanillaslip.internal.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against windows that are settled before hosts could report them. */
class CollectionProgressTest {

    private static final long SECOND = 1_000_000_000L;

    private final CollectionProgress mProgress = new CollectionProgress(Duration.ofSeconds(2));

    @Test
    void furtherWindowsAreReportedSomeTimeAfterThoseBeforeThemAreClosed() {
        assertThat(mProgress.reportedThrough(0, 9 * SECOND)).isEqualTo(Long.MIN_VALUE);
        mProgress.recordClosed(100, 10 * SECOND);
        mProgress.recordClosed(104, 11 * SECOND);
        mProgress.recordClosed(104, 13 * SECOND);

        assertThat(mProgress.reportedThrough(0, 11 * SECOND)).isEqualTo(Long.MIN_VALUE);
        assertThat(mProgress.reportedThrough(0, 12 * SECOND)).isEqualTo(104);
        assertThat(mProgress.reportedThrough(0, 13 * SECOND)).isEqualTo(108);
    }

    /** Guards against a long wait for windows that nobody has. */
    @Test
    void windowsThatNoHostKeepsDelayNoLaterOnes() {
        mProgress.recordClosed(100, 10 * SECOND);

        assertThat(mProgress.reportedThrough(5000, 12 * SECOND)).isEqualTo(5004);
    }
}
