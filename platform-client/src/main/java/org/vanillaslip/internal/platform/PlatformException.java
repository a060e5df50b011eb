package org.vanillaslip.internal.platform;

/** Ends a watch. */
public final class PlatformException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final PlatformFailure mFailure;

    /** Creates an exception for the given failure. */
    public PlatformException(PlatformFailure failure, String message) {
        super(message);
        mFailure = failure;
    }

    /** Returns the failure that ended the watch. */
    public PlatformFailure failure() {
        return mFailure;
    }
}
