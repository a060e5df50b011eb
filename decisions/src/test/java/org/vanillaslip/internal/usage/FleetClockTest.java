package org.vanillaslip.internal.usage;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a time of day that follows the wrong clock of one host. */
class FleetClockTest {

    private static final long START = 1_767_225_600_000L;
    private static final long SECOND = 1_000_000_000L;

    private final FleetClock mClock = new FleetClock();

    @Test
    void usesTheMedianOfThreeClocks() {
        mClock.recordClock("a", START + 40, 0);
        mClock.recordClock("b", START - 2000, 0);
        mClock.update(START + 2000, 0);

        assertThat(mClock.millis(0)).isEqualTo(START + 40);
        assertThat(mClock.millis(SECOND)).isEqualTo(START + 1040);
    }

    @Test
    void ofTwoClocksTheOneThatStepsDoesNotCount() {
        mClock.recordClock("a", START, 0);
        mClock.update(START + 10, 0);
        mClock.recordClock("a", START + 1000, SECOND);
        mClock.update(START + 3000, SECOND);

        assertThat(mClock.millis(SECOND)).isBetween(START + 1000, START + 1010);
    }

    @Test
    void carriesTheEstimateOfTheHolderForwardWithTheSteadyClock() {
        mClock.update(START + 5000, 0);
        mClock.recordEstimate(START, 0);
        mClock.update(START + 35_000, 30 * SECOND);

        assertThat(mClock.millis(30 * SECOND)).isEqualTo(START + 30_000);
    }

    /** Guards against a time of day that is behind by the time for which a host was suspended. */
    @Test
    void doesNotCarryTheEstimateOverASuspension() {
        mClock.update(START, 0);
        mClock.recordEstimate(START, 0);
        mClock.update(START + 40_000, SECOND);
        mClock.update(START + 43_000, 4 * SECOND);

        assertThat(mClock.millis(4 * SECOND)).isEqualTo(START + 43_000);
    }

    /** Guards against an estimate of a holder that is gone for long. */
    @Test
    void usesTheOwnClockWithoutOthers() {
        mClock.recordEstimate(START, 0);
        mClock.recordClock("a", START, 0);
        mClock.update(START + 70_500, 70 * SECOND);

        assertThat(mClock.millis(70 * SECOND)).isEqualTo(START + 70_500);
    }
}
