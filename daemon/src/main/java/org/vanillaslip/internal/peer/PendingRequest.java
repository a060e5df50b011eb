package org.vanillaslip.internal.peer;

import io.vavr.control.Either;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.MonoSink;

/**
 * A request that is waiting for its reply.
 *
 * @param incarnation incarnation of the host when the request was sent; empty if unknown
 */
record PendingRequest(
        String host, String incarnation, MonoSink<Either<PeerFailure, Envelope>> sink) {

    boolean matches(Envelope reply) {
        return reply.getSender().equals(host)
                && (incarnation.isEmpty() || reply.getSenderIncarnation().equals(incarnation));
    }
}
