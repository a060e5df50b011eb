package org.vanillaslip.internal.serving;

/** Determines whether a call of a route may be repeated. */
public enum CallKind {
    /** A call that may run more than once. */
    REPEATABLE,
    /** A call that runs at most once. */
    AT_MOST_ONCE,
    /** A stream of events, which continues on another server only if the route is resumable. */
    STREAM
}
