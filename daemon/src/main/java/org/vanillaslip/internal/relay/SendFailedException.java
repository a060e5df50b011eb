package org.vanillaslip.internal.relay;

/** Thrown when sending a call to a backend server fails. */
final class SendFailedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final SendFailureKind mKind;

    /** Creates an exception without a stack trace, because server failures are expected. */
    SendFailedException(SendFailureKind kind, String message) {
        super(message, null, false, false);
        mKind = kind;
    }

    SendFailureKind kind() {
        return mKind;
    }
}
