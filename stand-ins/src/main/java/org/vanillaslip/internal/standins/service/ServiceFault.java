package org.vanillaslip.internal.standins.service;

import java.util.Locale;

/** Faults that a test can switch on. */
public enum ServiceFault {
    /** Close the connection without executing. */
    CLOSE_BEFORE,
    /** Execute, then close the connection without an answer. */
    CLOSE_AFTER,
    /** Execute and answer after the delay. */
    LATE,
    /** Execute and answer with the request id of another request. */
    MISMATCHED,
    /** Execute and never answer. */
    SILENT,
    NONE;

    static ServiceFault parse(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT));
    }
}
