package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vanillaslip.ModelName;

/**
 * Guards against a model that isn't loaded when its refused callers return at the forecast time.
 * This happens if callers wait less than a load takes, so that no caller waits for the model when
 * the loads are planned.
 */
class RefusedDemandTest {

    private static final ModelName MODEL = new ModelName("m1", Optional.empty());
    private static final long START = Duration.ofMinutes(1).toNanos();

    private final RefusedDemand mRefused = new RefusedDemand();

    @Test
    void demandRemainsUntilRefusedCallersHaveReturned() {
        mRefused.recordForecast(demand(Duration.ofSeconds(2)), Duration.ofSeconds(6), START);

        assertThat(refusedDemand(START + seconds(1)).get(MODEL).objectiveLeft())
                .isEqualTo(Duration.ofSeconds(5));
        assertThat(refusedDemand(START + seconds(6))).containsKey(MODEL);
        assertThat(refusedDemand(START + seconds(8))).isEmpty();
    }

    @Test
    void callersThatCanWaitAreNotCountedAsRefused() {
        mRefused.recordForecast(demand(Duration.ofSeconds(12)), Duration.ofSeconds(6), START);

        assertThat(refusedDemand(START)).isEmpty();
    }

    @Test
    void demandEndsWhenTheModelIsLoaded() {
        mRefused.recordForecast(demand(Duration.ofSeconds(2)), Duration.ofSeconds(6), START);

        assertThat(mRefused.merge(Map.of(), MODEL::equals, START)).isEmpty();
        assertThat(refusedDemand(START)).isEmpty();
    }

    /** The objectives of waiting callers are known exactly, those of refused ones are not. */
    @Test
    void demandOfWaitingCallersReplacesThatOfRefusedOnes() {
        LoadDemand waiting = demand(Duration.ofSeconds(12));
        mRefused.recordForecast(demand(Duration.ofSeconds(2)), Duration.ofSeconds(6), START);

        assertThat(mRefused.merge(Map.of(MODEL, waiting), name -> false, START))
                .containsEntry(MODEL, waiting);
    }

    private Map<ModelName, LoadDemand> refusedDemand(long nowNanos) {
        return mRefused.merge(Map.of(), name -> false, nowNanos);
    }

    private static LoadDemand demand(Duration deadlineLeft) {
        return new LoadDemand(MODEL, 1, Duration.ofMillis(500), deadlineLeft, 0);
    }

    private static long seconds(long count) {
        return Duration.ofSeconds(count).toNanos();
    }
}
