package org.vanillaslip.internal.platform;

/** Type of a watch event, as written in the protocol. */
public enum WatchEventType {
    ADDED,
    MODIFIED,
    DELETED,
    /** Heartbeat that contains the current version and no change. */
    BOOKMARK
}
