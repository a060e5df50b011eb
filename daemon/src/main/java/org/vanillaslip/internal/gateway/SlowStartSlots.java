package org.vanillaslip.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import org.vanillaslip.internal.control.Replica;
import reactor.core.publisher.Mono;

/** Bounds the concurrent requests of a backend server over all hosts while it is starting up. */
public interface SlowStartSlots {

    /**
     * Takes a slot on the server, or nothing when it bears no more now. Completes within the given
     * time.
     */
    Mono<Optional<Slot>> acquire(Replica replica, Duration wait);
}
