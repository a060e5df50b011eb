package org.vanillaslip.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against a keep-alive that is the same for all models, and against a weight without effect.
 */
class KeepAlivePolicyTest {

    private static final Duration COLD_START_COST = Duration.ofSeconds(60);

    @Test
    void aModelWithShortPausesStaysLoadedDuringThem() {
        assertThat(policy(0.5).keepAlive(history(5, 6, 5, 7), 1)).isEqualTo(seconds(7));
    }

    @Test
    void aModelWithLongPausesIsUnloadedAtOnce() {
        assertThat(policy(0.5).keepAlive(history(600, 700, 800), 1)).isZero();
    }

    @Test
    void theWeightDecidesBetweenIdleTimeAndColdStarts() {
        ArrivalHistory history = history(100, 110, 120);
        assertThat(policy(0.9).keepAlive(history, 1)).isZero();
        assertThat(policy(0.1).keepAlive(history, 1)).isEqualTo(seconds(120));
    }

    /**
     * Arrivals on other hosts are reported late, so a model in use appeared idle and was unloaded.
     */
    @Test
    void aModelUnderSteadyTrafficStaysLoadedForTheShortestKeepAlive() {
        Duration shortest = seconds(10);
        KeepAlivePolicy policy = new KeepAlivePolicy(0.5, COLD_START_COST, seconds(30), shortest);
        assertThat(policy.keepAlive(history(1, 1, 1, 600), 1)).isEqualTo(shortest);
    }

    private static KeepAlivePolicy policy(double weight) {
        return new KeepAlivePolicy(weight, COLD_START_COST, seconds(30), Duration.ZERO);
    }

    private static ArrivalHistory history(int... gaps) {
        ArrivalHistory history = ArrivalHistory.startingAt(0);
        long now = 0;
        for (int gap : gaps) {
            now += seconds(gap).toNanos();
            history = history.withArrival(now);
        }
        return history;
    }

    private static Duration seconds(int seconds) {
        return Duration.ofSeconds(seconds);
    }
}
