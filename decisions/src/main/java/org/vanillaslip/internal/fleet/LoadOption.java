package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.List;
import org.vanillaslip.internal.serving.ModelProfile;

/**
 * An engine on which a model could be loaded.
 *
 * @param modelsToUnload models that must be unloaded first
 * @param totalTime expected time until the model is loaded
 * @param cost expected time plus eviction and contention costs, in milliseconds; lower is better
 */
record LoadOption(
        EngineState engine,
        ModelProfile model,
        List<String> modelsToUnload,
        Duration totalTime,
        double cost,
        boolean fromStore) {}
