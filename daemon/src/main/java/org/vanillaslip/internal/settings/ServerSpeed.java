package org.vanillaslip.internal.settings;

/** Speeds of servers by which calls are distributed. */
public enum ServerSpeed {
    /** All servers of a pool count as equally fast. */
    EQUAL,
    /** As measured from the event gaps of streams. */
    MEASURED
}
