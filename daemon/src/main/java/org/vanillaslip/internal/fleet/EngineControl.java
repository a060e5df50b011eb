package org.vanillaslip.internal.fleet;

import io.vavr.control.Either;
import reactor.core.publisher.Mono;

/** Orders to model engines and their reports. */
public interface EngineControl {

    /** Sends an order to the engine that is expected at the address. */
    Mono<OrderAnswer> sendOrder(RegisteredServer server, EngineOrder order);

    /** Asks an engine for its state, or says why it did not answer. */
    Mono<Either<String, ServerLoadReport>> requestReport(RegisteredServer server);
}
