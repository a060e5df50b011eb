package org.vanillaslip.internal.peer;

import org.vanillaslip.messages.Envelope;

/** Carries messages to other hosts. */
@FunctionalInterface
public interface PeerTransport {

    /** Sends the message, or returns false when the host is unreachable or its queue is full. */
    boolean send(String host, Envelope message);
}
