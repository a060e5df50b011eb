package org.vanillaslip.internal.scaling;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;

/** Tests the number of engines that the recently requested models need. */
class RecentModelsTest {

    private static final int SLOTS = 16;

    private final RecentModels mModels = new RecentModels();

    /** Guards against engines that are counted by memory which no further model fits into. */
    @Test
    void countsWholeModelsPerEngine() {
        for (int model = 0; model < 7; model++) {
            mModels.recordRequest(model("m" + model), 0);
        }
        assertThat(mModels.engines(profile(100, 0), Map.of(), Duration.ZERO, 0)).isEqualTo(7 / 3.0);
        assertThat(mModels.count()).isEqualTo(7);
    }

    /** Guards against engines for models that nobody asks for any more. */
    @Test
    void forgetsModelsThatNobodyAsksFor() {
        mModels.recordRequest(model("m0"), 0);
        mModels.recordRequest(model("m1"), Duration.ofSeconds(15).toNanos());
        mModels.removeExpired(Duration.ofSeconds(21).toNanos());
        assertThat(mModels.count()).isEqualTo(1);
    }

    /** Guards against a busy model that counts as one copy, and a running one that is forgotten. */
    @Test
    void countsCopiesOfBusyModels() {
        assertThat(mModels.engines(profile(100, 0), Map.of("m0", 30), Duration.ZERO, 0))
                .isEqualTo(1);
        assertThat(
                        mModels.engines(
                                profile(100, 0), Map.of("m0", 1, "unknown", 9), Duration.ZERO, 0))
                .isEqualTo(1 / 3.0);
    }

    /** Guards against adapters that find no slot although the models fit. */
    @Test
    void countsAdapterSlots() {
        for (int adapter = 0; adapter < 8; adapter++) {
            mModels.recordRequest(new ModelName("m0", Optional.of("a" + adapter)), 0);
        }
        assertThat(mModels.engines(profile(100, 4), Map.of(), Duration.ZERO, 0)).isEqualTo(2);
    }

    private static ModelName model(String name) {
        return new ModelName(name, Optional.empty());
    }

    /** Ten models, of which three fit into the memory of an engine. */
    private static EngineProfile profile(double megabytes, int adapterSlots) {
        Map<String, ModelProfile> models = new HashMap<>();
        for (int model = 0; model < 10; model++) {
            models.put(
                    "m" + model,
                    new ModelProfile(
                            "m" + model,
                            30,
                            9,
                            1,
                            Duration.ofSeconds(8),
                            Duration.ofMillis(1300),
                            Duration.ofMillis(600)));
        }
        return new EngineProfile(SLOTS, megabytes, adapterSlots, 4, models);
    }
}
