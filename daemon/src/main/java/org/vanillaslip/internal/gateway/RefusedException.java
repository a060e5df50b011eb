package org.vanillaslip.internal.gateway;

import org.vanillaslip.Refusal;

/** Carries a refusal through a reactive chain. */
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
