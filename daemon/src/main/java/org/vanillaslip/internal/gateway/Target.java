package org.vanillaslip.internal.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import org.vanillaslip.Refusal;
import org.vanillaslip.internal.control.Replica;
import reactor.core.publisher.Mono;

/**
 * What requests wait for: a model, or a pool of plain services.
 *
 * @param name name of the queue
 * @param replicas the replicas known now
 * @param activate asks for a replica and returns the expected wait, or why there will be none
 */
record Target(
        String name,
        Supplier<List<Replica>> replicas,
        Function<Duration, Mono<Either<Refusal, Duration>>> activate) {}
