package org.vanillaslip.internal.fleet;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.serving.ServingPlan;

/** Decodes every entry as a server without models. */
final class PlainServers implements ServingCollections {

    private long mStartedAtMillis = 1;

    void setStartedAtMillis(long startedAtMillis) {
        mStartedAtMillis = startedAtMillis;
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
                        mStartedAtMillis,
                        "pool",
                        "10.0.0.1:1",
                        new FailureDomain("d0"),
                        6,
                        false,
                        OptionalLong.empty(),
                        0,
                        ServerModelState.EMPTY));
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
