package org.vanillaslip.internal.platform;

/** Kinds of watch events. */
public enum WatchEventType {
    ADDED,
    MODIFIED,
    DELETED,
    /** Heartbeat that only moves the position. */
    BOOKMARK
}
