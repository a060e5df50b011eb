package org.vanillaslip.internal.attempt;

/** The next action of the host for an attempt. */
public enum AttemptAction {
    /** Create the record if it doesn't exist. */
    CREATE,
    /** Read the record. */
    READ,
    /** Replace the record that was read if its version is unchanged. */
    TAKE_OVER,
    /** Send the call to the backend server, once. */
    RUN,
    /** Return the recorded outcome. */
    REPLAY,
    /** Refuse the call. */
    REFUSE
}
