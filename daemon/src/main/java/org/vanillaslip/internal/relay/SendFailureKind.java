package org.vanillaslip.internal.relay;

/** What is known of a request after a send that brought no answer. */
enum SendFailureKind {
    /** No connection was made, so no byte of the request has left this host. */
    UNREACHED,
    /** The server, or another one at its address, said that it did not run the request. */
    NOT_RUN,
    /** The request may have run. */
    UNKNOWN
}
