package org.vanillaslip.internal.backend;

/** Response to an order; whether the order was executed is known from a later status report. */
public enum OrderOutcome {
    ACCEPTED,
    REFUSED,
    /** No usable response arrived, so the order may or may not have been executed. */
    UNKNOWN
}
