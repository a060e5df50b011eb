package org.vanillaslip.internal.attempt;

/** Why an operation on the stored record failed. */
public enum AttemptFailure {
    /** The operation did not take effect: nothing was changed and nothing was read. */
    UNREACHABLE,
    /** The record already exists, or another writer changed it. */
    CONFLICT,
    /** The response was lost; the change may have taken effect. */
    ANSWER_LOST,
    /** The record does not exist. */
    MISSING
}
