package org.vanillaslip.internal.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.vanillaslip.Configuration;
import org.vanillaslip.Refusal;
import org.vanillaslip.internal.control.Replica;
import reactor.core.publisher.Mono;

/**
 * Destination that requests are queued for: a model, or a pool of plain services.
 *
 * @param name name of the queue
 * @param replicas supplies the currently known replicas
 * @param activate requests a replica before the given time and returns the expected wait, or the
 *     refusal if none can be provided
 * @param withdraw called when the last waiting request is removed without being dispatched
 * @param revalidate returns the refusal if a new configuration no longer permits the request
 */
record Target(
        String name,
        Supplier<List<Replica>> replicas,
        Function<Duration, Mono<Either<Refusal, Duration>>> activate,
        Runnable withdraw,
        Function<Configuration, Optional<Refusal>> revalidate) {}
