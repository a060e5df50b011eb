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

    static CallerResponse buffered(Mono<BufferedResponse> whole) {
        return new CallerResponse(whole, Flux.empty(), false);
    }

    static CallerResponse events(Flux<EngineEvent> stream) {
        return new CallerResponse(Mono.empty(), stream, true);
    }
}
