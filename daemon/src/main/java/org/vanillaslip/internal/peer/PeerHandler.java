package org.vanillaslip.internal.peer;

import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;

/** Handles messages of one body type from other hosts; runs on the decision loop. */
@FunctionalInterface
public interface PeerHandler {

    /** Returns the body of the reply, or an empty result if the message needs no reply. */
    Mono<Envelope.Builder> handle(Envelope request);
}
