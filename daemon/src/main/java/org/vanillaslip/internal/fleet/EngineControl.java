package org.vanillaslip.internal.fleet;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import reactor.core.publisher.Mono;

/** Client for the control interface of model engines. */
public interface EngineControl {

    /** Longest time from the write of an order until it is answered or can no longer arrive. */
    Duration MAX_DELIVERY_TIME = Duration.ofMillis(300);

    /**
     * Sends an order to an engine; another server at its address does not execute it.
     *
     * @param permitted whether the order may be sent; asked again right before it is written
     */
    Mono<OrderAnswer> sendOrder(
            RegisteredServer server, EngineOrder order, BooleanSupplier permitted);

    /** Registers the listener for what engines say of themselves in their responses. */
    default void onNotice(EngineNoticeListener listener) {}

    /** Requests the state of an engine; the left side is the cause of a failure. */
    Mono<Either<String, ServerLoadReport>> requestReport(RegisteredServer server);
}
