package org.vanillaslip.internal.scaling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;

/** Load: callers ask evenly for many rare models, of which an engine holds three. */
class ExpectedModelsTest {

    private static final int MODELS = 68;
    private static final Duration START_TIME = Duration.ofSeconds(16);

    private final RecentModels mModels = new RecentModels();

    /** Guards against servers that are ordered one by one while ever more models are asked for. */
    @Test
    void modelsThatWillBeAskedForBeforeAServerIsReadyCount() {
        for (int second = 0; second < 5; second++) {
            mModels.recordRequest(model(2 * second), seconds(second));
            mModels.recordRequest(model(2 * second + 1), seconds(second));
        }

        // 10 models in 5 s make 32 more in 16 s.
        assertThat(engines(4)).isCloseTo(42 / 3.0, within(0.5));
    }

    /** Guards against a count by memory alone: an engine with room for 3.3 models holds 3. */
    @Test
    void allModelsNeedEnginesThatHoldThreeEach() {
        assertThat(RecentModels.enginesForAll(profile())).isCloseTo(MODELS / 3.0, within(0.01));
    }

    /** Guards against more engines than all models of the pool need. */
    @Test
    void noMoreModelsAreExpectedThanThePoolHas() {
        for (int index = 0; index < 40; index++) {
            mModels.recordRequest(model(index), seconds(1));
        }

        assertThat(engines(2)).isCloseTo(MODELS / 3.0, within(0.5));
    }

    /** Guards against a number that stays high when callers ask for the same models again. */
    @Test
    void modelsThatAreAskedForAgainAreNotExpectedToGrow() {
        for (int second = 0; second < 30; second++) {
            for (int index = 0; index < 9; index++) {
                mModels.recordRequest(model(index), seconds(second));
            }
            mModels.removeExpired(seconds(second));
        }

        assertThat(engines(30)).isCloseTo(3, within(0.1));
    }

    private double engines(int second) {
        return mModels.engines(profile(), Map.of(), START_TIME, seconds(second));
    }

    private static EngineProfile profile() {
        Map<String, ModelProfile> models = new LinkedHashMap<>();
        for (int index = 0; index < MODELS; index++) {
            String name = "m" + index;
            Duration load = Duration.ofSeconds(8);
            models.put(name, new ModelProfile(name, 70_000, 0, 0, load, load, load));
        }
        return new EngineProfile(32, 230_000, 8, 19, models);
    }

    private static ModelName model(int index) {
        return new ModelName("m" + index, Optional.empty());
    }

    private static long seconds(int seconds) {
        return Duration.ofSeconds(seconds).toNanos();
    }
}
