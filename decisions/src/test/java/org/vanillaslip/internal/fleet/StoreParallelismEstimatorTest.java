package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against store loads that slow each other down, and against a store left idle. */
class StoreParallelismEstimatorTest {

    private static final Duration USUAL = Duration.ofSeconds(8);
    private static final long STEP = Duration.ofMillis(10).toNanos();

    private final StoreParallelismEstimator mSpeed = new StoreParallelismEstimator(8);
    private long mNow;

    @Test
    void aStoreThatServesFourGetsFourOrFive() {
        play(4, 12);

        assertThat(mSpeed.parallelLoads()).isBetween(4, 5);
    }

    @Test
    void aStoreThatServesTwoGetsTwoOrThree() {
        play(2, 12);

        assertThat(mSpeed.parallelLoads()).isBetween(2, 3);
    }

    @Test
    void aStoreThatServesAllGetsAll() {
        play(100, 12);

        assertThat(mSpeed.parallelLoads()).isEqualTo(8);
    }

    /** Some stores fix the time of a load when it begins, by the loads that run then. */
    @Test
    void aStoreThatFixesTimesAtTheBeginIsLearnedAsWell() {
        for (int load = 1; load <= 8; load++) {
            mSpeed.recordLoadStart("engine-" + load, mNow);
        }
        for (int load = 1; load <= 8; load++) {
            mNow = Math.max(mNow, USUAL.toNanos() * Math.max(4, load) / 4);
            mSpeed.recordLoadEnd("engine-" + load, USUAL, mNow);
        }

        assertThat(mSpeed.parallelLoads()).isBetween(4, 5);
    }

    /** A store that was slow for a while is used fully again. */
    @Test
    void loadsAtFullSpeedRaiseTheNumberAgain() {
        play(1, 8);
        play(100, 60);

        assertThat(mSpeed.parallelLoads()).isEqualTo(8);
    }

    /** A single load says nothing of what the store serves beyond it. */
    @Test
    void aLoadAloneDoesNotRaiseTheNumber() {
        play(2, 12);
        int before = mSpeed.parallelLoads();
        mNow += USUAL.toNanos();
        mSpeed.recordLoadStart("alone", mNow);
        mNow += USUAL.toNanos();
        mSpeed.recordLoadEnd("alone", USUAL, mNow);

        assertThat(mSpeed.parallelLoads()).isEqualTo(before);
    }

    /** Plays loads that share a store; as many begin as the speed allows. */
    private void play(int servedAtOnce, int loads) {
        List<double[]> running = new ArrayList<>();
        int begun = 0;
        while (begun < loads || !running.isEmpty()) {
            while (begun < loads && running.size() < mSpeed.parallelLoads()) {
                running.add(new double[] {begun, USUAL.toNanos()});
                mSpeed.recordLoadStart("engine-" + begun++, mNow);
            }
            double pace = Math.min(1, servedAtOnce / (double) running.size());
            mNow += STEP;
            for (double[] load : List.copyOf(running)) {
                load[1] -= pace * STEP;
                if (load[1] <= 0) {
                    running.remove(load);
                    mSpeed.recordLoadEnd("engine-" + (int) load[0], USUAL, mNow);
                }
            }
        }
    }
}
