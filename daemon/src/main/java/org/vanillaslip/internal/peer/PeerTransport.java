package org.vanillaslip.internal.peer;

import org.vanillaslip.messages.Envelope;

/** Sends messages to other hosts. */
@FunctionalInterface
public interface PeerTransport {

    /** Sends the message; returns false if the host is unreachable or its send queue is full. */
    boolean send(String host, Envelope message);
}
