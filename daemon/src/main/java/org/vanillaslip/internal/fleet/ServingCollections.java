package org.vanillaslip.internal.fleet;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.serving.ServingPlan;

/** Names and codecs of the platform's collections of configurations, servers and drains. */
public interface ServingCollections {

    /** Returns the name of the collection of configurations. */
    String plans();

    /** Decodes a configuration, or returns the error; empty for other objects. */
    Optional<Either<String, ServingPlan>> plan(StoredObject object);

    /** Returns the name of the collection of backend servers. */
    String servers();

    /** Decodes a backend server, or returns the error. */
    Either<String, RegisteredServer> server(StoredObject object);

    /** Returns the name of the collection of drained failure domains. */
    String drains();

    /** Returns the collections that operators write, and so change rarely. */
    default Set<String> rarelyChanging() {
        return Set.of(plans(), drains());
    }

    /** Returns the failure domain that the object drains. */
    FailureDomain drained(StoredObject object);
}
