package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.routing.SendSchedule;

/** Guards against a schedule that does not know the sends that it has already reserved. */
class HeldScheduleTest {

    private static final long STEP = Duration.ofMillis(10).toNanos();
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final double PER_SECOND = 20;

    /** Guards against a burst when two relays take turns as the first one of the ranking. */
    @Test
    void keepsTheRateWhileRequestsArePassedOnInBetween() {
        HeldSchedule schedule = new HeldSchedule(0);
        TreeSet<Long> lent = new TreeSet<>();
        for (long now = 0; now < 10 * SECOND; now += STEP) {
            SendSchedule used = schedule.use(now);
            long time = used.nextTime(PER_SECOND, now);
            if (time - now <= 3 * SECOND / 2) {
                used.take(time);
                assertThat(lent.add(time)).isTrue();
            }
            schedule.recordPassedOn();
        }

        assertThat(lent).hasSizeGreaterThan(100);
        for (long start = 0; start < 10 * SECOND; start += STEP) {
            assertThat(lent.subSet(start, start + SECOND)).hasSizeLessThanOrEqualTo(21);
        }
    }

    @Test
    void waitsUntilTheSendsOfThePreviousHolderAreOver() {
        assertThat(new HeldSchedule(0).use(0).nextTime(PER_SECOND, 0)).isGreaterThan(SECOND);
    }

    /** Guards against a schedule that is dropped between two requests of waiting calls. */
    @Test
    void isUnusedTenSecondsAfterTheLastRequest() {
        HeldSchedule schedule = new HeldSchedule(0);
        schedule.use(5 * SECOND);

        assertThat(schedule.isUnused(15 * SECOND)).isFalse();
        assertThat(schedule.isUnused(16 * SECOND)).isTrue();
    }
}
