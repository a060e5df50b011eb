package org.vanillaslip.internal.attempt;

/** What the host does next for an attempt. */
public enum AttemptAction {
    /** Create the record, only if it doesn't exist. */
    CREATE,
    /** Read the record. */
    READ,
    /** Replace the record that was read, only if its version is unchanged. */
    TAKE_OVER,
    /** Send the call, once. */
    RUN,
    /** Return the recorded outcome. */
    REPLAY,
    /** Refuse the call. */
    REFUSE
}
