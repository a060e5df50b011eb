package org.vanillaslip.internal.quota;

import java.util.List;

/** Tokens charged by estimate, to be settled against the actual use. */
public final class Charge {

    private final long mAmount;
    private final List<Slice> mSlices;

    Charge(long amount, List<Slice> slices) {
        mAmount = amount;
        mSlices = List.copyOf(slices);
    }

    /** Returns the charged estimate. */
    public long amount() {
        return mAmount;
    }

    List<Slice> slices() {
        return mSlices;
    }
}
