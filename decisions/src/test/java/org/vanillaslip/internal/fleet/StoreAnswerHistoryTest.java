package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against servers that stay in service without an entry although the store was available,
 * and against servers that are dropped because the store was not.
 */
class StoreAnswerHistoryTest {

    private static final long MILLI = Duration.ofMillis(1).toNanos();

    private final StoreAnswerHistory mAnswers = new StoreAnswerHistory();

    @Test
    void aHostThatHasJustStartedKnowsOfNoOutage() {
        assertThat(mAnswers.relistingTime(0)).isZero();
        answer(60_000);

        assertThat(mAnswers.relistingTime(60_000 * MILLI)).isZero();
    }

    @Test
    void answersToAnyHostAreEvidenceAgainstAnOutage() {
        for (int second = 0; second < 10; second++) {
            answer(second * 1000);

            assertThat(mAnswers.relistingTime((second * 1000 + 900) * MILLI)).isZero();
        }
    }

    @Test
    void serversMayBeListedAgainDuringAndShortlyAfterAnOutage() {
        answer(0);
        run(500, 5000);
        assertThat(mAnswers.relistingTime(5000 * MILLI)).isPositive();
        answer(5000);

        assertThat(mAnswers.relistingTime(5100 * MILLI)).isEqualTo(Duration.ofMillis(2100));
        answer(6500);
        assertThat(mAnswers.relistingTime(7100 * MILLI)).isEqualTo(Duration.ofMillis(100));
        assertThat(mAnswers.relistingTime(7300 * MILLI)).isZero();
    }

    /** The news of a relay is older than the answers that this host gets at the same time. */
    @Test
    void anOlderAnswerThatIsRecordedLateChangesNothing() {
        answer(0);
        run(500, 5000);
        answer(5000);
        mAnswers.recordAnswer(1000 * MILLI, 5000 * MILLI);

        assertThat(mAnswers.relistingTime(5000 * MILLI)).isEqualTo(Duration.ofMillis(2200));
    }

    /** Guards against servers that are kept because the host read the store's answers late. */
    @Test
    void aStandstillOfTheHostIsNoOutage() {
        answer(0);
        run(0, 1000);
        assertThat(mAnswers.relistingTime(5000 * MILLI)).isZero();
        answer(5000);
        assertThat(mAnswers.relistingTime(5000 * MILLI)).isZero();
        mAnswers.recordActivity(5500 * MILLI);

        assertThat(mAnswers.relistingTime(5600 * MILLI)).isZero();
    }

    @Test
    void anOutageBesideAShortStandstillIsNoticed() {
        answer(0);
        run(0, 1500);
        run(4000, 6000);
        answer(6000);

        assertThat(mAnswers.relistingTime(6100 * MILLI)).isPositive();
    }

    private void answer(long millis) {
        mAnswers.recordAnswer(millis * MILLI, millis * MILLI);
    }

    private void run(long fromMillis, long toMillis) {
        for (long now = fromMillis; now <= toMillis; now += 500) {
            mAnswers.recordActivity(now * MILLI);
        }
    }
}
