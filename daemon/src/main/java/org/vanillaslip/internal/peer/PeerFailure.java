package org.vanillaslip.internal.peer;

/** The reason why a request to another host got no reply. */
public enum PeerFailure {
    /** There is no usable link to the host; the request was not sent. */
    UNREACHABLE,
    /** No reply arrived in time; the host may have handled the request. */
    TIMEOUT
}
