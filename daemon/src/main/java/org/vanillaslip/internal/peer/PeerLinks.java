package org.vanillaslip.internal.peer;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Set;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;

/** Requests to other hosts of the deployment. Results are delivered on the decision loop. */
public interface PeerLinks {

    /** Sends a request and returns the reply that carries its request id. */
    Mono<Either<PeerFailure, Envelope>> request(
            String host, Envelope.Builder request, Duration timeout);

    /** Sends a message that needs no reply; it may be lost. */
    void send(String host, Envelope.Builder message);

    /** Sends a message that needs no reply to all hosts in reach; it may be lost. */
    default void broadcast(Envelope.Builder message) {
        liveHosts().forEach(host -> send(host, message));
    }

    /** Registers the handler for one body type. */
    void handle(Envelope.BodyCase bodyCase, PeerHandler handler);

    /** Returns the names of hosts whose heartbeat is current, without this host. */
    Set<String> liveHosts();

    /** Returns the live hosts that a message reaches without a detour. */
    default Set<String> linkedHosts() {
        return liveHosts();
    }
}
