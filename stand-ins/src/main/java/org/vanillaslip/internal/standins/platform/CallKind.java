package org.vanillaslip.internal.standins.platform;

/** Kinds of calls that the platform counts; an opened watch counts as one call. */
public enum CallKind {
    READ,
    LIST,
    CREATE,
    UPDATE,
    DELETE,
    WATCH;

    /** Returns whether the call may change an object. */
    public boolean isWrite() {
        return this == CREATE || this == UPDATE || this == DELETE;
    }
}
