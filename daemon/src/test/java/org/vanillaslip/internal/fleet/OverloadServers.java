package org.vanillaslip.internal.fleet;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.serving.ServingPlan;

/** Decodes entries as model engines, each with the models given for its name. */
final class OverloadServers implements ServingCollections {

    private final int mRequestSlots;
    int mRemainingColdMillis;
    private final Map<String, Set<String>> mModels = new HashMap<>();

    OverloadServers(int requestSlots) {
        mRequestSlots = requestSlots;
    }

    void put(String server, Set<String> models) {
        mModels.put(server, models);
    }

    ServerModelState state(String server) {
        Map<String, Set<String>> loaded = new HashMap<>();
        mModels.get(server).forEach(model -> loaded.put(model, Set.of()));
        return new ServerModelState(1, false, loaded, Set.of(), Set.of());
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
        return Either.right(
                new RegisteredServer(
                        object.name(),
                        1,
                        "pool",
                        "10.0.0.1:1",
                        new FailureDomain("d"),
                        mRequestSlots,
                        false,
                        OptionalLong.empty(),
                        mRemainingColdMillis,
                        state(object.name())));
    }

    @Override
    public String drains() {
        return "drains";
    }

    @Override
    public FailureDomain drained(StoredObject object) {
        return new FailureDomain(object.name());
    }
}
