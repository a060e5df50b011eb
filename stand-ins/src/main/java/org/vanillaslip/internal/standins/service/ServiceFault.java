package org.vanillaslip.internal.standins.service;

import java.util.Locale;

/** Faults that a test can inject. */
public enum ServiceFault {
    /** Closes the connection without executing the call. */
    CLOSE_BEFORE,
    /** Executes the call, then closes the connection without a response. */
    CLOSE_AFTER,
    /** Executes the call and responds after the delay. */
    LATE,
    /** Executes the call and responds with the id of another request. */
    MISMATCHED,
    /** Executes the call and never responds. */
    SILENT,
    NONE;

    static ServiceFault parse(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT));
    }
}
