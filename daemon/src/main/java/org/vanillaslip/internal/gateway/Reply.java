package org.vanillaslip.internal.gateway;

import org.vanillaslip.internal.backend.forward.CompletionEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * What a flow gives to the gateway: one of both is set.
 *
 * @param whole a complete answer
 * @param stream events of a completion for server-sent events
 */
record Reply(Mono<WholeReply> whole, Flux<CompletionEvent> stream, boolean streamed) {

    static Reply whole(Mono<WholeReply> whole) {
        return new Reply(whole, Flux.empty(), false);
    }

    static Reply stream(Flux<CompletionEvent> stream) {
        return new Reply(Mono.empty(), stream, true);
    }
}
