package org.vanillaslip.internal.quota;

import java.util.List;

/** Tokens charged by estimate, which {@link QuotaAccount#settle} corrects to the actual use. */
public final class Charge {

    private final long mAmount;
    private final List<Withdrawal> mWithdrawals;

    Charge(long amount, List<Withdrawal> withdrawals) {
        mAmount = amount;
        mWithdrawals = List.copyOf(withdrawals);
    }

    /** Returns the estimated number of tokens. */
    public long amount() {
        return mAmount;
    }

    List<Withdrawal> withdrawals() {
        return mWithdrawals;
    }
}
