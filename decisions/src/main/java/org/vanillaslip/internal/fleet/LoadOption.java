package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.List;
import org.vanillaslip.internal.serving.ModelProfile;

/**
 * One engine that could load a model.
 *
 * @param victims models that have to be unloaded first
 * @param total time until the model is loaded
 * @param cost time and losses in milliseconds, for comparison
 */
record LoadOption(
        EngineState engine,
        ModelProfile model,
        List<String> victims,
        Duration total,
        double cost,
        boolean fromStore) {}
