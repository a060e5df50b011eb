package org.vanillaslip.internal.backend.forward;

/** Ends the forwarding of a request. */
public final class ForwardException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ForwardFailureKind mKind;
    private final boolean mAnswerStarted;

    /** Creates an exception; an answer has started once a part of it was passed on. */
    public ForwardException(ForwardFailureKind kind, boolean answerStarted, String message) {
        super(message);
        mKind = kind;
        mAnswerStarted = answerStarted;
    }

    /** Returns the kind of failure. */
    public ForwardFailureKind kind() {
        return mKind;
    }

    /** Returns whether a part of the answer was passed on. */
    public boolean responseStarted() {
        return mAnswerStarted;
    }
}
