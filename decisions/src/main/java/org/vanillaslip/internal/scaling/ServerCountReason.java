package org.vanillaslip.internal.scaling;

/** What a changed number of servers follows. */
public enum ServerCountReason {
    /** The calls that are expected when a new server is ready need it. */
    CALLS,
    /** The models that callers asked for recently need it. */
    MODELS,
    /** Callers may ask for any configured model, since no demand has been observed yet. */
    CONFIGURED_MODELS,
    /** Servers leave at short notice. */
    LEAVING,
    /** Nothing needed the server for the whole hold time. */
    SURPLUS
}
