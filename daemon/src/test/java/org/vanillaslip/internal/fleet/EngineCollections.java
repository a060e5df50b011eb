package org.vanillaslip.internal.fleet;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.serving.CallerLimits;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;
import org.vanillaslip.internal.serving.ServicePool;
import org.vanillaslip.internal.serving.ServingPlan;

/** Decodes entries as the current state of simulated engines, which hold models m0 to m11. */
final class EngineCollections implements ServingCollections {

    private final EngineSimulation mEngines;

    EngineCollections(EngineSimulation engines) {
        mEngines = engines;
    }

    @Override
    public String plans() {
        return "plans";
    }

    @Override
    public Optional<Either<String, ServingPlan>> plan(StoredObject object) {
        return Optional.empty();
    }

    @Override
    public String servers() {
        return "servers";
    }

    @Override
    public Either<String, RegisteredServer> server(StoredObject object) {
        return Either.right(mEngines.mEngines.get(object.name()).registered());
    }

    @Override
    public String drains() {
        return "drains";
    }

    @Override
    public FailureDomain drained(StoredObject object) {
        return new FailureDomain(object.name());
    }

    static ServingPlan plan() {
        Map<String, ModelProfile> models = new HashMap<>();
        for (int model = 0; model < 12; model++) {
            String name = "m" + model;
            models.put(
                    name,
                    new ModelProfile(
                            name,
                            70,
                            3,
                            0,
                            Duration.ofSeconds(6),
                            EngineSimulation.LOAD_TIME,
                            Duration.ofMillis(600)));
        }
        EngineProfile engine =
                new EngineProfile(
                        48,
                        70 * EngineSimulation.MODEL_SLOTS,
                        EngineSimulation.ADAPTER_SLOTS,
                        4,
                        models);
        return new ServingPlan(
                1,
                List.of(),
                Map.of("pool", new ServicePool("pool", "/", 0, Optional.of(engine))),
                List.of(),
                Map.of(),
                CallerLimits.DEFAULT);
    }
}
