package org.vanillaslip.internal.serving;

/** What may be repeated on a route. */
public enum CallKind {
    /** A call that may run more than once. */
    REPEATABLE,
    /** A call that runs at most once. */
    AT_MOST_ONCE,
    /** A stream of events; it may continue on another server only where the route allows it. */
    STREAM
}
