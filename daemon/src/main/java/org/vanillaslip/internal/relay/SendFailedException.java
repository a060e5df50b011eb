package org.vanillaslip.internal.relay;

/** Thrown when sending a call to a backend server fails. */
final class SendFailedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final SendFailureKind mKind;
    private final boolean mConnectionLost;
    private final boolean mConnectionRefused;

    /** Creates an exception without a stack trace, because server failures are expected. */
    SendFailedException(SendFailureKind kind, String message) {
        this(kind, message, false, false);
    }

    private SendFailedException(
            SendFailureKind kind,
            String message,
            boolean connectionLost,
            boolean connectionRefused) {
        super(message, null, false, false);
        mKind = kind;
        mConnectionLost = connectionLost;
        mConnectionRefused = connectionRefused;
    }

    /** Creates an exception for a connection that ended before the response was complete. */
    static SendFailedException connectionLost(String message) {
        return new SendFailedException(SendFailureKind.UNKNOWN, message, true, false);
    }

    /** Creates an exception for an address at which no process accepts connections. */
    static SendFailedException connectionRefused(String message) {
        return new SendFailedException(SendFailureKind.UNREACHED, message, false, true);
    }

    SendFailureKind kind() {
        return mKind;
    }

    /** Returns whether no process accepts connections at the server's address. */
    boolean isConnectionRefused() {
        return mConnectionRefused;
    }

    /** Returns whether the server ended the connection, as it does when it crashes. */
    boolean isConnectionLost() {
        return mConnectionLost;
    }
}
