package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vanillaslip.ModelName;

/**
 * Pattern "busy models moving on": callers of a model that has just become busy wait less than a
 * load takes. Guards against callers who come back at the time they were told, and find that nobody
 * has loaded the model because nobody was waiting.
 */
class RefusedDemandTest {

    private static final ModelName MODEL = new ModelName("m1", Optional.empty());
    private static final long START = Duration.ofMinutes(1).toNanos();

    private final RefusedDemand mRefused = new RefusedDemand();

    @Test
    void aModelStaysWantedUntilItsRefusedCallersAreBack() {
        mRefused.recordForecast(wish(Duration.ofSeconds(2)), Duration.ofSeconds(6), START);

        assertThat(wishes(START + seconds(1)).get(MODEL).objectiveLeft())
                .isEqualTo(Duration.ofSeconds(5));
        assertThat(wishes(START + seconds(6))).containsKey(MODEL);
        assertThat(wishes(START + seconds(8))).isEmpty();
    }

    @Test
    void callersWhoCanWaitAreNotCountedAsRefused() {
        mRefused.recordForecast(wish(Duration.ofSeconds(12)), Duration.ofSeconds(6), START);

        assertThat(wishes(START)).isEmpty();
    }

    @Test
    void aModelThatIsLoadedIsNoLongerWanted() {
        mRefused.recordForecast(wish(Duration.ofSeconds(2)), Duration.ofSeconds(6), START);

        assertThat(mRefused.merge(Map.of(), MODEL::equals, START)).isEmpty();
        assertThat(wishes(START)).isEmpty();
    }

    /** The objectives of callers who wait now are known exactly. */
    @Test
    void waitingCallersGoBeforeRefusedOnesOfTheSameModel() {
        LoadDemand waiting = wish(Duration.ofSeconds(12));
        mRefused.recordForecast(wish(Duration.ofSeconds(2)), Duration.ofSeconds(6), START);

        assertThat(mRefused.merge(Map.of(MODEL, waiting), name -> false, START))
                .containsEntry(MODEL, waiting);
    }

    private Map<ModelName, LoadDemand> wishes(long nowNanos) {
        return mRefused.merge(Map.of(), name -> false, nowNanos);
    }

    private static LoadDemand wish(Duration deadlineLeft) {
        return new LoadDemand(MODEL, 1, Duration.ofMillis(500), deadlineLeft, 0);
    }

    private static long seconds(long count) {
        return Duration.ofSeconds(count).toNanos();
    }
}
