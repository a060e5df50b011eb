package org.vanillaslip.internal.control;

import java.time.Duration;
import java.util.Optional;
import org.vanillaslip.Configuration;
import reactor.core.publisher.Flux;

/** The configuration in force on this host. */
public interface ConfigurationView {

    /** Returns the last good snapshot, or empty when this host never had one. */
    Optional<Configuration> current();

    /** Emits each new snapshot on the decision loop. */
    Flux<Configuration> changes();

    /** Returns the time since the platform or an up-to-date peer last confirmed the snapshot. */
    Duration age();
}
