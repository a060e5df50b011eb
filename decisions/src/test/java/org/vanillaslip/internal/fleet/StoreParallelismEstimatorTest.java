package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against store loads that slow each other down, and against an underused store. */
class StoreParallelismEstimatorTest {

    private static final Duration FULL_SPEED_TIME = Duration.ofSeconds(8);
    private static final long STEP = Duration.ofMillis(10).toNanos();

    private final StoreParallelismEstimator mEstimator = new StoreParallelismEstimator(8);
    private long mNow;

    @Test
    void allowsFourOrFiveLoadsWhenTheStoreServesFour() {
        simulate(4, 12);

        assertThat(mEstimator.parallelLoads()).isBetween(4, 5);
    }

    @Test
    void allowsTwoOrThreeLoadsWhenTheStoreServesTwo() {
        simulate(2, 12);

        assertThat(mEstimator.parallelLoads()).isBetween(2, 3);
    }

    @Test
    void allowsTheMaximumWhenTheStoreServesAllLoads() {
        simulate(100, 12);

        assertThat(mEstimator.parallelLoads()).isEqualTo(8);
    }

    /** Some stores fix the duration of a load at its start, by the number of running loads. */
    @Test
    void handlesAStoreThatFixesLoadTimesAtTheStart() {
        for (int load = 1; load <= 8; load++) {
            mEstimator.recordLoadStart("engine-" + load, mNow);
        }
        for (int load = 1; load <= 8; load++) {
            mNow = Math.max(mNow, FULL_SPEED_TIME.toNanos() * Math.max(4, load) / 4);
            mEstimator.recordLoadEnd("engine-" + load, FULL_SPEED_TIME, mNow);
        }

        assertThat(mEstimator.parallelLoads()).isBetween(4, 5);
    }

    /** Guards against an underused store after a slow period. */
    @Test
    void loadsAtFullSpeedRaiseTheLimitAgain() {
        simulate(1, 8);
        simulate(100, 60);

        assertThat(mEstimator.parallelLoads()).isEqualTo(8);
    }

    /** A single load doesn't show how many parallel loads the store serves at full speed. */
    @Test
    void aSingleLoadDoesNotRaiseTheLimit() {
        simulate(2, 12);
        int before = mEstimator.parallelLoads();
        mNow += FULL_SPEED_TIME.toNanos();
        mEstimator.recordLoadStart("single", mNow);
        mNow += FULL_SPEED_TIME.toNanos();
        mEstimator.recordLoadEnd("single", FULL_SPEED_TIME, mNow);

        assertThat(mEstimator.parallelLoads()).isEqualTo(before);
    }

    /** Simulates loads that share a store; the estimate limits how many run in parallel. */
    private void simulate(int loadsAtFullSpeed, int loads) {
        List<double[]> running = new ArrayList<>();
        int started = 0;
        while (started < loads || !running.isEmpty()) {
            while (started < loads && running.size() < mEstimator.parallelLoads()) {
                running.add(new double[] {started, FULL_SPEED_TIME.toNanos()});
                mEstimator.recordLoadStart("engine-" + started++, mNow);
            }
            double speed = Math.min(1, loadsAtFullSpeed / (double) running.size());
            mNow += STEP;
            for (double[] load : List.copyOf(running)) {
                load[1] -= speed * STEP;
                if (load[1] <= 0) {
                    running.remove(load);
                    mEstimator.recordLoadEnd("engine-" + (int) load[0], FULL_SPEED_TIME, mNow);
                }
            }
        }
    }
}
