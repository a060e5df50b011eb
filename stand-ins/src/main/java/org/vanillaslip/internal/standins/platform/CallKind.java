package org.vanillaslip.internal.standins.platform;

/** Kinds of calls that are counted; opening a watch counts as one call. */
public enum CallKind {
    READ,
    LIST,
    CREATE,
    UPDATE,
    DELETE,
    WATCH;

    /** Returns whether calls of this kind can change an object. */
    public boolean isWrite() {
        return this == CREATE || this == UPDATE || this == DELETE;
    }
}
