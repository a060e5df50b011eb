package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.List;
import org.vanillaslip.internal.serving.ModelProfile;

/**
 * One engine that could load a model.
 *
 * @param modelsToUnload models that have to be unloaded first
 * @param totalTime time until the model is loaded
 * @param cost time and losses in milliseconds, for comparison
 */
record LoadOption(
        EngineState engine,
        ModelProfile model,
        List<String> modelsToUnload,
        Duration totalTime,
        double cost,
        boolean fromStore) {}
