package org.vanillaslip.internal.gateway;

import org.vanillaslip.Refusal;

/** Signals a refusal in a reactive pipeline. */
public final class RefusedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient Refusal mRefusal;

    /** Creates an exception without a stack trace, because refusals are frequent. */
    public RefusedException(Refusal refusal) {
        super(refusal.code().name(), null, false, false);
        mRefusal = refusal;
    }

    /** Returns the refusal. */
    public Refusal refusal() {
        return mRefusal;
    }
}
