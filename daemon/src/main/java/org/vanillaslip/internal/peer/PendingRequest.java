package org.vanillaslip.internal.peer;

import io.vavr.control.Either;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.MonoSink;

/**
 * A request that waits for its reply.
 *
 * @param incarnation incarnation of the host at sending, empty when nothing was heard from it yet
 */
record PendingRequest(
        String host, String incarnation, MonoSink<Either<PeerFailure, Envelope>> sink) {

    boolean matches(Envelope reply) {
        return reply.getSender().equals(host)
                && (incarnation.isEmpty() || reply.getSenderIncarnation().equals(incarnation));
    }
}
