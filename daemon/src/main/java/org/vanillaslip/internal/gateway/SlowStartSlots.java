package org.vanillaslip.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import org.vanillaslip.internal.control.Replica;
import reactor.core.publisher.Mono;

/** Limits the concurrent requests of all hosts to a backend server during its slow start. */
public interface SlowStartSlots {

    /**
     * Acquires a slot on the server, or returns empty if none is available. Completes within the
     * given time.
     */
    Mono<Optional<Slot>> acquire(Replica replica, Duration wait);
}
