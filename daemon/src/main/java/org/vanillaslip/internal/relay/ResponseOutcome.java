package org.vanillaslip.internal.relay;

/** What the head of a backend server's answer says. */
public enum ResponseOutcome {
    /** The server ran the request with success. */
    SUCCEEDED,
    /** The server ran the request and answers with a failure. */
    FAILED,
    /** The server has no place and did not run the request. */
    NOT_RUN_FULL,
    /** The server does not hold the model and did not run the request. */
    NOT_RUN_ABSENT,
    /** Another server answers at the address and did not run the request. */
    NOT_RUN_OTHER_SERVER,
    /** The answer does not belong to the request, or is not one of a backend server. */
    FOREIGN
}
