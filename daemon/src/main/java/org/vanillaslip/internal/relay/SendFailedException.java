package org.vanillaslip.internal.relay;

/** Thrown when sending a call to a backend server fails. */
final class SendFailedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final SendFailureKind mKind;
    private final boolean mConnectionLost;

    /** Creates an exception without a stack trace, because server failures are expected. */
    SendFailedException(SendFailureKind kind, String message) {
        this(kind, message, false);
    }

    private SendFailedException(SendFailureKind kind, String message, boolean connectionLost) {
        super(message, null, false, false);
        mKind = kind;
        mConnectionLost = connectionLost;
    }

    /** Creates an exception for a connection that ended before the response was complete. */
    static SendFailedException connectionLost(String message) {
        return new SendFailedException(SendFailureKind.UNKNOWN, message, true);
    }

    SendFailureKind kind() {
        return mKind;
    }

    /** Returns whether the server ended the connection, as it does when it crashes. */
    boolean isConnectionLost() {
        return mConnectionLost;
    }
}
