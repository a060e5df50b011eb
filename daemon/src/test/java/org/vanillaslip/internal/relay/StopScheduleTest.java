package org.vanillaslip.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class StopScheduleTest {

    /** Guards against calls that a late timer lets in after the delay and the stop then cuts. */
    @Test
    void newCallsAreRefusedBeforeTheDelayEnds() {
        StopSchedule schedule = StopSchedule.of(Duration.ofSeconds(3));

        assertThat(schedule.closing()).isEqualTo(Duration.ofSeconds(3));
        assertThat(schedule.refusal()).isEqualTo(Duration.ofMillis(2750));
    }

    /** Guards against a short delay in which no call is accepted. */
    @Test
    void aShortDelayKeepsMostOfItsTime() {
        assertThat(StopSchedule.of(Duration.ofMillis(200)).refusal())
                .isEqualTo(Duration.ofMillis(150));
        assertThat(StopSchedule.of(Duration.ZERO).refusal()).isEqualTo(Duration.ZERO);
    }
}
