package org.vanillaslip.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against bursts from saved-up sends, and against permits that are never asked for again.
 */
class SendPermitsTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final SendPermits mPermits = new SendPermits();

    @Test
    void aScheduleStartsEmptyAndSavesNothingUp() {
        SendSchedule schedule = new SendSchedule(0);

        assertThat(schedule.nextTime(2, 0)).isEqualTo(SECOND / 2);
        assertThat(schedule.nextTime(2, 10 * SECOND)).isEqualTo(10 * SECOND);
        schedule.take(10 * SECOND);
        assertThat(schedule.nextTime(2, 10 * SECOND)).isEqualTo(10 * SECOND + SECOND / 2);
    }

    @Test
    void aTinyRateDoesNotOverflow() {
        assertThat(new SendSchedule(0).nextTime(1e-300, 0)).isPositive();
    }

    @Test
    void aPermitIsUsableFromItsTimeUntilItExpires() {
        mPermits.recordGrant(SECOND);

        assertThat(mPermits.isUsable(SECOND - 1)).isFalse();
        assertThat(mPermits.isUsable(SECOND)).isTrue();
        assertThat(mPermits.isUsable(2 * SECOND)).isFalse();
    }

    @Test
    void aPermitIsUsedOnce() {
        mPermits.recordGrant(0);
        mPermits.use(0);

        assertThat(mPermits.isUsable(0)).isFalse();
    }

    @Test
    void aPermitIsRequestedAgainAfterARefusalAndAfterALostReply() {
        mPermits.recordRequest(0);
        assertThat(mPermits.isRequestDue(1, 0)).isFalse();
        mPermits.recordRefusal(5 * SECOND, SECOND, 0);
        assertThat(mPermits.nextTime(0)).hasValue(5 * SECOND);
        assertThat(mPermits.isRequestDue(1, 3 * SECOND)).isFalse();
        assertThat(mPermits.isRequestDue(1, 4 * SECOND)).isTrue();

        mPermits.recordRequest(4 * SECOND);
        mPermits.recordNoReply(4 * SECOND);
        assertThat(mPermits.isRequestDue(1, 5 * SECOND)).isTrue();
    }

    /** Guards against a server that gets no calls because a request never had a result. */
    @Test
    void aRequestWithoutAnyResultIsRepeated() {
        mPermits.recordRequest(0);

        assertThat(mPermits.isRequestDue(1, SECOND / 2)).isFalse();
        assertThat(mPermits.isRequestDue(1, SECOND)).isTrue();
    }

    @Test
    void noMorePermitsAreRequestedThanCallsWait() {
        mPermits.recordGrant(SECOND);

        assertThat(mPermits.isRequestDue(1, 0)).isFalse();
        assertThat(mPermits.isRequestDue(2, 0)).isTrue();
    }
}
