package org.vanillaslip.internal.relay;

/** Whether a request may have run on a backend server although its send failed. */
enum SendFailureKind {
    /** No connection was established, so no byte of the request was sent. */
    UNREACHED,
    /** The server, or another one at its address, responded that it did not run the request. */
    NOT_RUN,
    /** The request may have run. */
    UNKNOWN
}
