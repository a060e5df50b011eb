package org.vanillaslip.internal.backend;

/** What is known after an order was sent; the outcome itself comes from a report. */
public enum OrderOutcome {
    ACCEPTED,
    REFUSED,
    /** The answer did not come: the order may or may not have been executed. */
    UNKNOWN
}
