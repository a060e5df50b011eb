package org.vanillaslip.internal.platform;

/** Why a call to the platform did not succeed. */
public enum PlatformFailure {
    NOT_FOUND,
    /** The object exists already, or has another version than expected; nothing was changed. */
    CONFLICT,
    /** The platform or the call budget of this host refused the call; nothing was changed. */
    THROTTLED,
    /** The call did not reach the platform; nothing was changed. */
    UNAVAILABLE,
    /** The answer was lost: the change may have taken effect, and the caller has to read again. */
    OUTCOME_UNKNOWN,
    /** Nothing came on a watch for too long; changes may have been missed. */
    SILENT,
    /** The watch position is too old; the caller has to list again. */
    GONE
}
