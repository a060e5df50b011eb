package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.Collection;
import org.vanillaslip.internal.serving.ModelProfile;

/** Finds the nearest copy of a model's weights. */
final class WeightCopies {

    private WeightCopies() {}

    /** Returns from where the engine would load the model. */
    static WeightSource source(EngineState engine, ModelProfile model) {
        if (engine.modelState().inMemory().contains(model.name())) {
            return WeightSource.MEMORY;
        }
        return engine.modelState().onDisk().contains(model.name())
                ? WeightSource.DISK
                : WeightSource.STORE;
    }

    /** Returns the time in which the engine loads the model at full speed. */
    static Duration loadTime(EngineState engine, ModelProfile model) {
        return switch (source(engine, model)) {
            case MEMORY -> model.memoryLoadTime();
            case DISK -> model.diskLoadTime();
            case STORE -> model.storeLoadTime();
        };
    }

    /** Returns whether an engine has loaded the model, is loading it or has a copy of it. */
    static boolean anyCopy(Collection<EngineState> engines, ModelProfile model) {
        return engines.stream()
                .anyMatch(
                        engine ->
                                engine.isLoadedOrLoading(model.name())
                                        || source(engine, model) != WeightSource.STORE);
    }
}
