package org.vanillaslip.internal.fleet;

import io.vavr.control.Either;
import java.util.Optional;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.serving.ServingPlan;

/** Where the platform keeps the configuration, the servers and drains, and how it writes them. */
public interface ServingCollections {

    /** Returns the collection of the configuration. */
    String plans();

    /** Decodes a configuration, or says what cannot be read; empty for other objects. */
    Optional<Either<String, ServingPlan>> plan(StoredObject object);

    /** Returns the collection of backend servers. */
    String servers();

    /** Decodes a backend server, or says what cannot be read. */
    Either<String, RegisteredServer> server(StoredObject object);

    /** Returns the collection of drained failure domains. */
    String drains();

    /** Returns the failure domain that the object drains. */
    FailureDomain drained(StoredObject object);
}
