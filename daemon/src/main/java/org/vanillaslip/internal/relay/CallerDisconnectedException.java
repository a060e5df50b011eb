package org.vanillaslip.internal.relay;

/** Thrown when a call is not sent because its caller has closed the connection. */
final class CallerDisconnectedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception without a stack trace, because callers may leave at any time. */
    CallerDisconnectedException() {
        super("the caller has disconnected", null, false, false);
    }
}
