package org.vanillaslip.internal.gateway;

import org.vanillaslip.internal.backend.forward.EngineEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * What a flow gives to the gateway: one of both is set.
 *
 * @param buffered a complete answer
 * @param events events of a completion for server-sent events
 */
record CallerResponse(
        Mono<BufferedResponse> buffered, Flux<EngineEvent> events, boolean isStreamed) {

    static CallerResponse buffered(Mono<BufferedResponse> response) {
        return new CallerResponse(response, Flux.empty(), false);
    }

    static CallerResponse events(Flux<EngineEvent> engineEvents) {
        return new CallerResponse(Mono.empty(), engineEvents, true);
    }
}
