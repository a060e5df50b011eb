package org.vanillaslip.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Guards against a host that overloads the platform or leaves no calls for lease renewals. */
class CallBudgetTest {

    private final AtomicLong mNowNanos = new AtomicLong();
    private final CallBudget mBudget = new CallBudget(mNowNanos::get, 20, 5, 2);

    @Test
    void ordinaryCallsCannotUseTheReservedTokens() {
        assertThat(acquireAll()).isEqualTo(3);
        assertThat(mBudget.tryAcquireReserved()).isTrue();
        assertThat(mBudget.tryAcquireReserved()).isTrue();
        assertThat(mBudget.tryAcquireReserved()).isFalse();
    }

    @Test
    void refillsAtTheConfiguredRateUpToItsCapacity() {
        acquireAll();
        mNowNanos.addAndGet(Duration.ofMillis(50).toNanos());
        assertThat(acquireAll()).isEqualTo(1);
        mNowNanos.addAndGet(Duration.ofHours(1).toNanos());
        assertThat(acquireAll()).isEqualTo(3);
    }

    @Test
    void backoffDelayStaysBelowItsBoundAndResetsAfterASuccess() {
        Backoff backoff =
                new Backoff(Duration.ofMillis(100), Duration.ofSeconds(10), new Random(1));
        Duration longest = Duration.ZERO;
        for (int failure = 0; failure < 100; failure++) {
            Duration delay = backoff.nextDelay();
            assertThat(delay).isLessThanOrEqualTo(Duration.ofMillis(100L << Math.min(failure, 7)));
            assertThat(delay).isLessThanOrEqualTo(Duration.ofSeconds(10));
            longest = delay.compareTo(longest) > 0 ? delay : longest;
        }
        backoff.reset();
        assertThat(longest).isGreaterThan(Duration.ofSeconds(8));
        assertThat(backoff.nextDelay()).isLessThanOrEqualTo(Duration.ofMillis(100));
    }

    private int acquireAll() {
        int acquired = 0;
        while (mBudget.tryAcquire()) {
            acquired++;
        }
        return acquired;
    }
}
