package org.vanillaslip;

/** How urgent a request is; lower ordinals go first. */
public enum RequestClass {
    /** A person waits for the first token. */
    INTERACTIVE,
    /** The caller is willing to wait until the deadline. */
    WAITING,
    /** Background work. */
    BATCH
}
