package org.vanillaslip.internal.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.vanillaslip.Configuration;
import org.vanillaslip.internal.configuration.Fault;
import reactor.core.publisher.Flux;

/** The configuration in force on this host. */
public interface ConfigurationView {

    /** Returns the last good snapshot, or empty when this host never had one. */
    Optional<Configuration> current();

    /** Emits each new snapshot on the decision loop. */
    Flux<Configuration> changes();

    /** Returns why items are not in force in their newest version; empty when all are. */
    default List<Fault> faults() {
        return List.of();
    }

    /** Returns the time since the platform or an up-to-date peer last confirmed the snapshot. */
    Duration age();
}
