package org.vanillaslip.internal.backend.forward;

/** Why forwarding did not give a complete answer. */
public enum ForwardFailureKind {
    /** No connection was made; no byte of the request was written. */
    NOT_SENT,
    /** The connection broke or went silent after the request may have been written. */
    BROKEN,
    /** The answer names another request. */
    MISMATCHED,
    /** The backend server answered that it can't run the request now. */
    REJECTED,
    /** The answer is larger than the bound. */
    TOO_LARGE
}
