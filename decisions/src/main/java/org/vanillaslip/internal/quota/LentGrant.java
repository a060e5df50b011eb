package org.vanillaslip.internal.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * The granter's record of a grant, with the sources of the tokens that are not yet reported as
 * spent or returned.
 */
final class LentGrant {

    private final long mExpiresAt;
    private final List<Withdrawal> mUnresolved;
    private long mSpent;
    private long mReturned;
    private int mSequence;

    LentGrant(long expiresAt, List<Withdrawal> withdrawals) {
        mExpiresAt = expiresAt;
        mUnresolved = new ArrayList<>(withdrawals);
    }

    boolean hasExpired(long nowNanos) {
        return mExpiresAt <= nowNanos;
    }

    /**
     * Returns whether the report is newer than all reports before it. Its totals must not be
     * smaller than theirs.
     */
    boolean isNew(GrantUsage usage) {
        return usage.sequence() > mSequence
                && usage.spent() >= mSpent
                && usage.returned() >= mReturned;
    }

    List<Withdrawal> resolveSpent(GrantUsage usage) {
        long amount = usage.spent() - mSpent;
        mSpent = usage.spent();
        return resolve(amount);
    }

    List<Withdrawal> resolveReturned(GrantUsage usage) {
        long amount = usage.returned() - mReturned;
        mReturned = usage.returned();
        mSequence = usage.sequence();
        return resolve(amount);
    }

    List<Withdrawal> resolveAll() {
        return resolve(Long.MAX_VALUE);
    }

    boolean isResolved() {
        return mUnresolved.isEmpty();
    }

    private List<Withdrawal> resolve(long amount) {
        List<Withdrawal> resolved = new ArrayList<>();
        long remaining = amount;
        while (remaining > 0 && !mUnresolved.isEmpty()) {
            Withdrawal withdrawal = mUnresolved.remove(0);
            long taken = Math.min(remaining, withdrawal.amount());
            resolved.add(withdrawal.withAmount(taken));
            if (taken < withdrawal.amount()) {
                mUnresolved.add(0, withdrawal.withAmount(withdrawal.amount() - taken));
            }
            remaining -= taken;
        }
        return resolved;
    }
}
