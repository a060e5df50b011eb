package org.vanillaslip.internal.attempt;

/** Why a step of the record protocol failed. */
public enum AttemptFailure {
    /** Nothing was changed and nothing is known. */
    UNREACHABLE,
    /** The record exists already or was changed by somebody else. */
    CONFLICT,
    /** The change may have taken effect. */
    ANSWER_LOST,
    /** No such record. */
    MISSING
}
