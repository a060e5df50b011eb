package org.vanillaslip.internal.gateway;

import org.vanillaslip.internal.backend.forward.CompletionEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The response of a request handler, either buffered or streamed. The other publisher is empty.
 *
 * @param buffered the complete response
 * @param events the events to send as server-sent events
 * @param isStreamed whether {@code events} is the response
 */
record CallerResponse(
        Mono<BufferedResponse> buffered, Flux<CompletionEvent> events, boolean isStreamed) {

    static CallerResponse buffered(Mono<BufferedResponse> response) {
        return new CallerResponse(response, Flux.empty(), false);
    }

    static CallerResponse events(Flux<CompletionEvent> completionEvents) {
        return new CallerResponse(Mono.empty(), completionEvents, true);
    }
}
