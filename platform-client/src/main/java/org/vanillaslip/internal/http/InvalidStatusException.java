package org.vanillaslip.internal.http;

/**
 * Thrown when a response has a status that cannot end a request, so that the request is unanswered.
 */
public final class InvalidStatusException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception without a stack trace, because server faults are expected. */
    InvalidStatusException(int status) {
        super("status " + status + " is not between 200 and 599", null, false, false);
    }
}
