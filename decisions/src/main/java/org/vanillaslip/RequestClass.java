package org.vanillaslip;

/** Priority of a request; a class with a lower ordinal is served first. */
public enum RequestClass {
    /** A user waits for the first token. */
    INTERACTIVE,
    /** The caller is willing to wait until the deadline. */
    WAITING,
    /** A background job. */
    BATCH
}
