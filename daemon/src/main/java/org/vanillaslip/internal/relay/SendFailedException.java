package org.vanillaslip.internal.relay;

/** Ends one send of a call. */
final class SendFailedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final SendFailureKind mKind;

    /** Creates an exception without a stack trace, because failures of servers are expected. */
    SendFailedException(SendFailureKind kind, String message) {
        super(message, null, false, false);
        mKind = kind;
    }

    SendFailureKind kind() {
        return mKind;
    }
}
