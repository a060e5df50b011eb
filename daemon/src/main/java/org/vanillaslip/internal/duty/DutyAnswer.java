package org.vanillaslip.internal.duty;

/** Outcome of a duty call. */
public enum DutyAnswer {
    /** The platform has accepted the call. */
    ACCEPTED,
    /** The platform accepts no more calls for now; it has not taken this one. */
    THROTTLED,
    /** The platform has rejected the call as wrong. */
    REJECTED,
    /** The call was written, and nothing shows whether the platform has taken it. */
    UNKNOWN,
    /** No byte of the call has left this host. */
    UNREACHED,
    /** The right to act ended before the call was written. */
    NOT_PERMITTED
}
