package org.vanillaslip.internal.quota;

import java.util.List;

/** Tokens charged by estimate, to be settled against the actual use. */
public final class Charge {

    private final long mAmount;
    private final List<Withdrawal> mSlices;

    Charge(long amount, List<Withdrawal> slices) {
        mAmount = amount;
        mSlices = List.copyOf(slices);
    }

    /** Returns the charged estimate. */
    public long amount() {
        return mAmount;
    }

    List<Withdrawal> slices() {
        return mSlices;
    }
}
