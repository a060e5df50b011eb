package org.vanillaslip.internal.quota;

/** Units that a workspace was charged for a call. */
public final class WorkspaceCharge {

    private final Runnable mRefund;
    private boolean mRefunded;

    WorkspaceCharge(Runnable refund) {
        mRefund = refund;
    }

    /** Refunds the units of a call that no server has run; does nothing the second time. */
    public void refund() {
        if (!mRefunded) {
            mRefunded = true;
            mRefund.run();
        }
    }
}
