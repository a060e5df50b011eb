package org.vanillaslip.internal.platform;

/** Signals that a watch of the platform or a call to it failed. */
public final class PlatformException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final PlatformFailure mFailure;

    /** Creates an exception for the given kind of failure. */
    public PlatformException(PlatformFailure failure, String message) {
        super(message);
        mFailure = failure;
    }

    /** Returns the kind of failure. */
    public PlatformFailure failure() {
        return mFailure;
    }
}
