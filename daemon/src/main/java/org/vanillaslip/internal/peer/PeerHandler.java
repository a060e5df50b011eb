package org.vanillaslip.internal.peer;

import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;

/** Handles requests of one body type from other hosts; runs on the decision loop. */
@FunctionalInterface
public interface PeerHandler {

    /** Returns the reply's body, or an empty result when the request needs no reply. */
    Mono<Envelope.Builder> handle(Envelope request);
}
