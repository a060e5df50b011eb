package org.vanillaslip.internal.quota;

import java.util.ArrayList;
import java.util.List;

/** A grant at its granter, with the sources that its unresolved tokens came from. */
final class LentGrant {

    private final long mExpiresAt;
    private final List<Withdrawal> mOpen;
    private long mSpent;
    private long mReturned;
    private int mSequence;

    LentGrant(long expiresAt, List<Withdrawal> slices) {
        mExpiresAt = expiresAt;
        mOpen = new ArrayList<>(slices);
    }

    boolean hasExpired(long nowNanos) {
        return mExpiresAt <= nowNanos;
    }

    /** Returns whether the report is new; totals only grow from one new report to the next. */
    boolean isNew(GrantUsage use) {
        return use.sequence() > mSequence && use.spent() >= mSpent && use.returned() >= mReturned;
    }

    List<Withdrawal> resolveSpent(GrantUsage use) {
        long amount = use.spent() - mSpent;
        mSpent = use.spent();
        return resolve(amount);
    }

    List<Withdrawal> resolveReturned(GrantUsage use) {
        long amount = use.returned() - mReturned;
        mReturned = use.returned();
        mSequence = use.sequence();
        return resolve(amount);
    }

    List<Withdrawal> resolveAll() {
        return resolve(Long.MAX_VALUE);
    }

    boolean isResolved() {
        return mOpen.isEmpty();
    }

    private List<Withdrawal> resolve(long amount) {
        List<Withdrawal> resolved = new ArrayList<>();
        long missing = amount;
        while (missing > 0 && !mOpen.isEmpty()) {
            Withdrawal slice = mOpen.remove(0);
            long taken = Math.min(missing, slice.amount());
            resolved.add(slice.withAmount(taken));
            if (taken < slice.amount()) {
                mOpen.add(0, slice.withAmount(slice.amount() - taken));
            }
            missing -= taken;
        }
        return resolved;
    }
}
