package org.vanillaslip.internal.fleet;

import io.vavr.control.Either;
import reactor.core.publisher.Mono;

/** Client for the control interface of model engines. */
public interface EngineControl {

    /** Sends an order to an engine; another server at its address does not execute it. */
    Mono<OrderAnswer> sendOrder(RegisteredServer server, EngineOrder order);

    /** Registers the listener for what engines say of themselves in their responses. */
    default void onNotice(EngineNoticeListener listener) {}

    /** Requests the state of an engine; the left side is the cause of a failure. */
    Mono<Either<String, ServerLoadReport>> requestReport(RegisteredServer server);
}
