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
        mAnswers.recordAnswer(60_000 * MILLI);

        assertThat(mAnswers.relistingTime(60_000 * MILLI)).isZero();
    }

    @Test
    void answersToAnyHostAreEvidenceAgainstAnOutage() {
        for (int second = 0; second < 10; second++) {
            mAnswers.recordAnswer(second * 1000 * MILLI);

            assertThat(mAnswers.relistingTime((second * 1000 + 900) * MILLI)).isZero();
        }
    }

    @Test
    void serversMayBeListedAgainDuringAndShortlyAfterAnOutage() {
        mAnswers.recordAnswer(0);
        assertThat(mAnswers.relistingTime(5000 * MILLI)).isPositive();
        mAnswers.recordAnswer(5000 * MILLI);

        assertThat(mAnswers.relistingTime(5100 * MILLI)).isEqualTo(Duration.ofMillis(2100));
        mAnswers.recordAnswer(6500 * MILLI);
        assertThat(mAnswers.relistingTime(7100 * MILLI)).isEqualTo(Duration.ofMillis(100));
        assertThat(mAnswers.relistingTime(7300 * MILLI)).isZero();
    }

    /** The news of a relay is older than the answers that this host gets at the same time. */
    @Test
    void anOlderAnswerThatIsRecordedLateChangesNothing() {
        mAnswers.recordAnswer(0);
        mAnswers.recordAnswer(5000 * MILLI);
        mAnswers.recordAnswer(1000 * MILLI);

        assertThat(mAnswers.relistingTime(5000 * MILLI)).isEqualTo(Duration.ofMillis(2200));
    }
}
