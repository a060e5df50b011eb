package org.vanillaslip.internal.backend.forward;

/** Reason why forwarding did not produce a complete response. */
public enum ForwardFailureKind {
    /** No connection was established, so no byte of the request was sent. */
    NOT_SENT,
    /** The connection broke or timed out after the request may have been sent. */
    BROKEN,
    /** The response belongs to another request. */
    MISMATCHED,
    /** The backend server refused to run the request now. */
    REJECTED,
    /** The response exceeds the size limit. */
    TOO_LARGE
}
