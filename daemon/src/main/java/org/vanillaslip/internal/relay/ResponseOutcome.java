package org.vanillaslip.internal.relay;

/** What the head of a backend server's response says about the request. */
public enum ResponseOutcome {
    /** The server ran the request successfully. */
    SUCCEEDED,
    /** The server ran the request and reports a failure. */
    FAILED,
    /** The server has no free request slot and did not run the request. */
    NOT_RUN_FULL,
    /** The server has not loaded the model and did not run the request. */
    NOT_RUN_ABSENT,
    /** Another server responded at the address and did not run the request. */
    NOT_RUN_OTHER_SERVER,
    /** The response belongs to another request or does not come from a backend server. */
    FOREIGN
}
