package org.vanillaslip.internal.platform;

/** Reason for which a call to the platform failed or a watch ended. */
public enum PlatformFailure {
    NOT_FOUND,
    /** The object exists already, or has another version than expected; nothing was changed. */
    CONFLICT,
    /** The platform or the call budget of this host rejected the call; nothing was changed. */
    THROTTLED,
    /** The call failed or did not reach the platform; nothing was changed. */
    UNAVAILABLE,
    /** The platform answered, but its answer cannot be read; asking again gets the same answer. */
    UNREADABLE,
    /** Changes are made faster than they arrive; a list is shorter than the changes. */
    BEHIND,
    /** The response was lost; the change may have taken effect, so the caller has to read again. */
    OUTCOME_UNKNOWN,
    /** No event arrived on a watch for too long; changes may have been missed. */
    SILENT,
    /** The start version of a watch is too old; the caller has to list the collection again. */
    GONE
}
