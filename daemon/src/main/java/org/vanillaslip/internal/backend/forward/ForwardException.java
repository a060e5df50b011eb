package org.vanillaslip.internal.backend.forward;

/** Thrown when forwarding a request fails. */
public final class ForwardException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ForwardFailureKind mKind;
    private final boolean mResponseStarted;

    /**
     * Creates an exception.
     *
     * @param responseStarted whether a part of the response was already forwarded
     */
    public ForwardException(ForwardFailureKind kind, boolean responseStarted, String message) {
        super(message);
        mKind = kind;
        mResponseStarted = responseStarted;
    }

    /** Returns the kind of failure. */
    public ForwardFailureKind kind() {
        return mKind;
    }

    /** Returns whether a part of the response was already forwarded. */
    public boolean responseStarted() {
        return mResponseStarted;
    }
}
