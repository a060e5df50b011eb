package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against more loads in a window than the weight store allows. */
class StoreLoadRateLimiterTest {

    private static final double PER_SECOND = 0.8;

    private final StoreLoadRateLimiter mLimiter = new StoreLoadRateLimiter();
    private long mNow;

    @Test
    void limitsTheLoadsThatStartWithinAWindow() {
        int begun = startLoads(100);

        assertThat(begun).isEqualTo(4);
    }

    @Test
    void allowsTheSameNumberInTheNextWindow() {
        startLoads(100);
        mNow += StoreLoadRateLimiter.WINDOW.toNanos();

        assertThat(startLoads(100)).isEqualTo(4);
    }

    @Test
    void limitsLoadsThatStartThroughoutTheWindow() {
        int begun = 0;
        for (int step = 0; step < 100; step++) {
            begun += startLoads(1);
            mNow += Duration.ofMillis(49).toNanos();
        }

        assertThat(begun).isEqualTo(4);
    }

    /** A new holder does not know which loads the one before has begun. */
    @Test
    void countsLoadsOfThePreviousHolder() {
        mLimiter.recordTakeover(3, mNow);

        assertThat(startLoads(100)).isEqualTo(1);
    }

    private int startLoads(int wanted) {
        int begun = 0;
        while (begun < wanted && mLimiter.availableLoads(PER_SECOND, mNow) > 0) {
            mLimiter.recordLoadStart(mNow);
            begun++;
        }
        return begun;
    }
}
