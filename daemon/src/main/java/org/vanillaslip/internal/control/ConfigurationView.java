package org.vanillaslip.internal.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.vanillaslip.Configuration;
import org.vanillaslip.internal.configuration.Fault;
import reactor.core.publisher.Flux;

/** The configuration in force on this host. */
public interface ConfigurationView {

    /** Returns the last valid snapshot, or empty if this host never had one. */
    Optional<Configuration> current();

    /** Emits each new snapshot on the decision loop. */
    Flux<Configuration> changes();

    /**
     * Returns the faults because of which items are not in force in their newest version; empty if
     * all items are.
     */
    default List<Fault> faults() {
        return List.of();
    }

    /** Returns the time since the platform last confirmed the snapshot. */
    Duration age();
}
