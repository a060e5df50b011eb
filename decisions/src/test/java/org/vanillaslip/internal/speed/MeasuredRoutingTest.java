package org.vanillaslip.internal.speed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against slow servers that get as many calls as fast ones, so that their answers are late.
 */
class MeasuredRoutingTest {

    private static final double LOAD = 0.6;

    /** Gaps are half as long again when all request slots are in use. */
    private static final double LOADED_GAP_FACTOR = 0.5;

    private static final double MAX_LATE_RATIO = 1.2;
    private static final double SETTLING_SECONDS = 40;
    private static final double MEASURED_SECONDS = 600;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void callsOfSlowServersAreNotMoreOftenLateThanThoseOfTheFastOne(long seed) {
        PoolSimulation measured = run(PoolSimulation.Engine.SLOTS, true, LOADED_GAP_FACTOR, seed);
        PoolSimulation equal = run(PoolSimulation.Engine.SLOTS, false, LOADED_GAP_FACTOR, seed);

        assertThat(lateRatio(measured)).isLessThanOrEqualTo(MAX_LATE_RATIO);
        assertThat(lateRatio(equal)).isGreaterThan(MAX_LATE_RATIO);
        assertThat(measured.lateFraction(0, 1)).isLessThan(equal.lateFraction(0, 1));
    }

    /**
     * Where calls wait for the prompts of others, a slow server needs more time for a call even
     * when it has none, so the ratio above is not reached. Guards what the speeds gain there.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void fewerCallsAreLateWherePromptsAreProcessedOneAfterTheOther(long seed) {
        PoolSimulation measured = run(PoolSimulation.Engine.PROMPTS, true, 0, seed);
        PoolSimulation equal = run(PoolSimulation.Engine.PROMPTS, false, 0, seed);

        assertThat(measured.lateFraction(0, 1, 2)).isLessThan(0.75 * equal.lateFraction(0, 1, 2));
        assertThat(lateRatio(measured)).isLessThan(0.5 * lateRatio(equal));
    }

    /**
     * Guards against a speed that swings: more calls make a server slower, which leads to fewer
     * calls.
     */
    @ParameterizedTest
    @CsvSource({"0.5, 1", "0.5, 2", "2, 1", "2, 2"})
    void speedsDoNotOscillateUnderConstantLoad(double loadedGapFactor, long seed) {
        PoolSimulation pool = run(PoolSimulation.Engine.SLOTS, true, loadedGapFactor, seed);
        double[] speeds = pool.speedHistory(2);
        double mean = Arrays.stream(speeds).average().orElse(0);
        double meanStep =
                IntStream.range(1, speeds.length)
                        .mapToDouble(index -> Math.abs(speeds[index] / speeds[index - 1] - 1))
                        .average()
                        .orElse(1);

        assertThat(Arrays.stream(speeds).boxed())
                .allMatch(speed -> Math.abs(speed / mean - 1) < 0.25);
        assertThat(meanStep).isLessThan(0.02);
    }

    /** Guards against differences by chance that change the routing where servers are alike. */
    @Test
    void equalServersGetTheSameCallsAsWithoutMeasurement() {
        PoolSimulation measured = equalServers(true);
        PoolSimulation equal = equalServers(false);

        for (int server = 0; server < 4; server++) {
            assertThat(measured.calls(server)).isEqualTo(equal.calls(server)).isPositive();
        }
        assertThat(measured.lateFraction(0, 1, 2, 3)).isEqualTo(equal.lateFraction(0, 1, 2, 3));
    }

    private static PoolSimulation equalServers(boolean measured) {
        PoolSimulation pool =
                new PoolSimulation(
                        PoolSimulation.Engine.SLOTS, measured, LOADED_GAP_FACTOR, 1, 1, 1, 1, 1);
        pool.run(MEASURED_SECONDS, LOAD);
        return pool;
    }

    private static PoolSimulation run(
            PoolSimulation.Engine engine, boolean measured, double loadedGapFactor, long seed) {
        PoolSimulation pool =
                new PoolSimulation(engine, measured, loadedGapFactor, seed, 0.7, 0.7, 1.7);
        pool.run(SETTLING_SECONDS, LOAD);
        pool.resetCounts();
        pool.run(MEASURED_SECONDS, LOAD);
        return pool;
    }

    private static double lateRatio(PoolSimulation pool) {
        return pool.lateFraction(0, 1) / Math.max(1e-4, pool.lateFraction(2));
    }
}
