package org.vanillaslip.internal.peer;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Set;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;

/** Exchanges messages with the other hosts. Replies are delivered on the decision loop. */
public interface PeerLinks {

    /** Sends a request and returns the reply with the same request id, or the failure. */
    Mono<Either<PeerFailure, Envelope>> request(
            String host, Envelope.Builder request, Duration timeout);

    /** Sends a message that needs no reply; it may be lost. */
    void send(String host, Envelope.Builder message);

    /** Sends a message that needs no reply to all reachable hosts; it may be lost. */
    default void broadcast(Envelope.Builder message) {
        liveHosts().forEach(host -> send(host, message));
    }

    /** Registers the handler for a body type, replacing any earlier one. */
    void handle(Envelope.BodyCase bodyCase, PeerHandler handler);

    /** Returns the names of the other hosts that sent a message within the silence timeout. */
    Set<String> liveHosts();

    /** Returns the live hosts that have a direct link to this host. */
    default Set<String> linkedHosts() {
        return liveHosts();
    }
}
