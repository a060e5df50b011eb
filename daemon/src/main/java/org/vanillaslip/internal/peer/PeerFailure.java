package org.vanillaslip.internal.peer;

/** Why a request to another host got no reply. */
public enum PeerFailure {
    /** The host has no known address or the connection failed; the request was not delivered. */
    UNREACHABLE,
    /** No reply came in time; the request may have been handled. */
    TIMEOUT
}
