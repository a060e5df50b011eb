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
 * What requests wait for: a model, or a pool of plain services.
 *
 * @param name name of the queue
 * @param replicas the replicas known now
 * @param activate asks for a replica and returns the expected wait, or why there will be none
 * @param withdraw called when no request waits for the target any more and it was not granted
 * @param revalidate why a new configuration no longer permits the request, if so
 */
record Target(
        String name,
        Supplier<List<Replica>> replicas,
        Function<Duration, Mono<Either<Refusal, Duration>>> activate,
        Runnable withdraw,
        Function<Configuration, Optional<Refusal>> revalidate) {}
