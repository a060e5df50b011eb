package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against more loads within a window than the weight store allows. */
class StoreLoadRateLimiterTest {

    private static final double PER_SECOND = 0.8;

    private final StoreLoadRateLimiter mLimiter = new StoreLoadRateLimiter();
    private long mNow;

    @Test
    void limitsTheLoadsThatStartWithinAWindow() {
        int started = startLoads(100);

        assertThat(started).isEqualTo(4);
    }

    @Test
    void allowsTheSameNumberInTheNextWindow() {
        startLoads(100);
        mNow += StoreLoadRateLimiter.WINDOW.toNanos();

        assertThat(startLoads(100)).isEqualTo(4);
    }

    @Test
    void limitsLoadsThatStartThroughoutTheWindow() {
        int started = 0;
        for (int step = 0; step < 100; step++) {
            started += startLoads(1);
            mNow += Duration.ofMillis(49).toNanos();
        }

        assertThat(started).isEqualTo(4);
    }

    /** A new lease holder does not know which loads the previous one has started. */
    @Test
    void countsLoadsOfThePreviousHolder() {
        mLimiter.recordTakeover(3, mNow);

        assertThat(startLoads(100)).isEqualTo(1);
    }

    private int startLoads(int maxLoads) {
        int started = 0;
        while (started < maxLoads && mLimiter.availableLoads(PER_SECOND, mNow) > 0) {
            mLimiter.recordLoadStart(mNow);
            started++;
        }
        return started;
    }
}
