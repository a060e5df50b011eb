package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against store loads that slow each other down, and against a store left idle. */
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

    /** Some stores fix the time of a load when it begins, by the loads that run then. */
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

    /** A store that was slow for a while is used fully again. */
    @Test
    void loadsAtFullSpeedRaiseTheLimitAgain() {
        simulate(1, 8);
        simulate(100, 60);

        assertThat(mEstimator.parallelLoads()).isEqualTo(8);
    }

    /** A single load says nothing of what the store serves beyond it. */
    @Test
    void aSingleLoadDoesNotRaiseTheLimit() {
        simulate(2, 12);
        int before = mEstimator.parallelLoads();
        mNow += FULL_SPEED_TIME.toNanos();
        mEstimator.recordLoadStart("alone", mNow);
        mNow += FULL_SPEED_TIME.toNanos();
        mEstimator.recordLoadEnd("alone", FULL_SPEED_TIME, mNow);

        assertThat(mEstimator.parallelLoads()).isEqualTo(before);
    }

    /** Plays loads that share a store; as many begin as the speed allows. */
    private void simulate(int servedAtOnce, int loads) {
        List<double[]> running = new ArrayList<>();
        int begun = 0;
        while (begun < loads || !running.isEmpty()) {
            while (begun < loads && running.size() < mEstimator.parallelLoads()) {
                running.add(new double[] {begun, FULL_SPEED_TIME.toNanos()});
                mEstimator.recordLoadStart("engine-" + begun++, mNow);
            }
            double pace = Math.min(1, servedAtOnce / (double) running.size());
            mNow += STEP;
            for (double[] load : List.copyOf(running)) {
                load[1] -= pace * STEP;
                if (load[1] <= 0) {
                    running.remove(load);
                    mEstimator.recordLoadEnd("engine-" + (int) load[0], FULL_SPEED_TIME, mNow);
                }
            }
        }
    }
}
