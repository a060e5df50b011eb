package org.vanillaslip.internal.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/** State of one limit on one host: its own bucket, borrowed tokens, lent tokens and debt. */
public final class QuotaAccount {

    private final QuotaTimes mTimes;
    private final LongSupplier mGrantIds;
    private final QuotaBucket mBucket;
    private final BorrowedTokens mBorrowed = new BorrowedTokens();
    private final Map<Long, LentGrant> mLent = new HashMap<>();
    private final DemandEstimate mDemand = new DemandEstimate();
    private long mDebt;
    private long mSpent;

    /**
     * Creates an empty account.
     *
     * @param refillFromNanos when the refill of the bucket starts; must be after the grants of an
     *     earlier incarnation of this host have expired
     * @param grantIds IDs that are unique over all incarnations of this host, never 0
     */
    public QuotaAccount(QuotaTimes times, long refillFromNanos, LongSupplier grantIds) {
        mTimes = times;
        mGrantIds = grantIds;
        mBucket = new QuotaBucket(refillFromNanos);
    }

    /** Sets this host's share of the limit. */
    public void resize(double ratePerSecond, long capacity, long nowNanos) {
        expire(nowNanos);
        mBucket.resize(ratePerSecond, capacity, nowNanos);
    }

    /** Returns the time until refill starts. */
    public long nanosUntilRefill(long nowNanos) {
        return mBucket.nanosUntilRefill(nowNanos);
    }

    /** Returns whether lent tokens fit into the current share of the limit. */
    public boolean fitsCapacity(long nowNanos) {
        expire(nowNanos);
        return mBucket.fitsCapacity(nowNanos);
    }

    /** Returns the tokens that can be used now, after paying debt. */
    public long available(long nowNanos) {
        expire(nowNanos);
        payDebt(nowNanos);
        return mBorrowed.available(nowNanos) + mBucket.level(nowNanos);
    }

    /** Returns tokens that were used beyond an estimate and are not yet paid for. */
    public long debt() {
        return mDebt;
    }

    /** Returns the total of tokens taken for use on this host, without deducting refunds. */
    public long spent() {
        return mSpent;
    }

    /** Charges the whole amount, using borrowed tokens first, or nothing. */
    public Optional<Charge> charge(long amount, long nowNanos) {
        if (available(nowNanos) < amount || mDebt > 0) {
            return Optional.empty();
        }
        mDemand.add(amount, nowNanos);
        return Optional.of(new Charge(amount, spend(amount, nowNanos)));
    }

    /** Records demand that could not be met, so that the reserve follows it. */
    public void recordUnmetDemand(long amount, long nowNanos) {
        mDemand.add(amount, nowNanos);
    }

    /**
     * Corrects a charge to the actual use. Unused tokens are refunded only up to the amount with
     * which no time window exceeds the rate limit; use beyond the charge becomes debt. Returns the
     * refunded amount.
     */
    public long settle(Charge charge, long used, long nowNanos) {
        expire(nowNanos);
        long unused = charge.amount() - used;
        long refunded = 0;
        for (Withdrawal withdrawal : charge.withdrawals()) {
            long refund = Math.min(unused, withdrawal.amount());
            if (refund <= 0) {
                break;
            }
            unused -= refund;
            if (withdrawal.borrowedGrantId() == 0) {
                refunded += mBucket.refund(refund, withdrawal.headroomSequence(), nowNanos);
            } else {
                refunded += mBorrowed.refund(withdrawal.borrowedGrantId(), refund, nowNanos);
            }
        }
        mDebt += Math.max(0, used - charge.amount());
        payDebt(nowNanos);
        return refunded;
    }

    /** Returns how many tokens to request so that the amount and the reserve are both covered. */
    public long amountToRequest(long amount, long nowNanos) {
        long wanted = amount + mDebt + reserve(nowNanos);
        return Math.max(0, wanted - available(nowNanos));
    }

    /** Returns the reserve for the recent demand. */
    public long reserve(long nowNanos) {
        return Math.min(mDemand.reserve(nowNanos), Long.MAX_VALUE / 4);
    }

    /**
     * Grants up to the amount to another host, own tokens first. An empty grant has the amount 0.
     */
    public Grant grant(long amount, long nowNanos) {
        expire(nowNanos);
        payDebt(nowNanos);
        List<Withdrawal> withdrawals = new ArrayList<>();
        long validity = mTimes.validityNanos();
        long own = Math.min(amount, mBucket.level(nowNanos));
        if (own > 0) {
            mBucket.lend(own, nowNanos);
            withdrawals.add(new Withdrawal(0, own, 0));
        }
        long granted = own;
        // A grant expires when the first of its sources does, so nearly expired ones are left out.
        long usefulUntil = nowNanos + mTimes.validityNanos() / 4;
        for (Withdrawal withdrawal : mBorrowed.take(amount - own, usefulUntil, nowNanos)) {
            withdrawals.add(withdrawal);
            granted += withdrawal.amount();
            long remaining = mBorrowed.expiryOf(withdrawal.borrowedGrantId(), nowNanos) - nowNanos;
            validity = Math.min(validity, QuotaTimes.withoutDrift(remaining));
        }
        Grant grant = new Grant(mGrantIds.getAsLong(), granted, validity);
        if (granted > 0) {
            long expiresAt = nowNanos + QuotaTimes.withDrift(validity);
            mLent.put(grant.id(), new LentGrant(expiresAt, withdrawals));
        }
        return grant;
    }

    /** Adds a grant from another host. */
    public void accept(String granter, Grant grant, long requestSentAt, long nowNanos) {
        mBorrowed.accept(granter, grant, requestSentAt, nowNanos);
        payDebt(nowNanos);
    }

    /**
     * Applies a borrower's report; reports on expired grants and repeated reports have no effect.
     */
    public void apply(GrantUsage usage, long nowNanos) {
        expire(nowNanos);
        LentGrant lent = mLent.get(usage.grantId());
        if (lent == null || !lent.isNew(usage)) {
            return;
        }
        writeOffAll(lent.resolveSpent(usage), nowNanos);
        for (Withdrawal withdrawal : lent.resolveReturned(usage)) {
            if (withdrawal.borrowedGrantId() == 0) {
                mBucket.takeBack(withdrawal.amount(), nowNanos);
            } else {
                mBorrowed.putBack(withdrawal.borrowedGrantId(), withdrawal.amount(), nowNanos);
            }
        }
        if (lent.isResolved()) {
            mLent.remove(usage.grantId());
        }
    }

    /**
     * Returns borrowed tokens that neither waiting charges nor the reserve need. They are included
     * in the next reports.
     */
    public void returnUnneeded(long waiting, long nowNanos) {
        mBorrowed.returnExcess(reserve(nowNanos) + waiting, nowNanos);
    }

    /** Returns all borrowed tokens because this host stops. */
    public void returnAll(long nowNanos) {
        mBorrowed.returnExcess(0, nowNanos);
    }

    /** Returns the granters for which there is something new to report. */
    public List<String> granters(long nowNanos) {
        return mBorrowed.granters(nowNanos);
    }

    /** Returns the new reports for the granter. */
    public List<GrantUsage> reports(String granter, long nowNanos) {
        return mBorrowed.reports(granter, nowNanos);
    }

    private void payDebt(long nowNanos) {
        long paid = Math.min(mDebt, mBorrowed.available(nowNanos) + mBucket.level(nowNanos));
        if (paid > 0) {
            spend(paid, nowNanos);
            mDebt -= paid;
        }
    }

    private List<Withdrawal> spend(long amount, long nowNanos) {
        List<Withdrawal> withdrawals = new ArrayList<>(mBorrowed.take(amount, nowNanos, nowNanos));
        mSpent += amount;
        long borrowed = 0;
        for (Withdrawal withdrawal : withdrawals) {
            mBorrowed.markSpent(withdrawal.borrowedGrantId(), withdrawal.amount(), nowNanos);
            borrowed += withdrawal.amount();
        }
        long own = amount - borrowed;
        if (own > 0) {
            withdrawals.add(new Withdrawal(0, own, mBucket.spend(own, nowNanos)));
        }
        return withdrawals;
    }

    private void writeOffAll(List<Withdrawal> withdrawals, long nowNanos) {
        for (Withdrawal withdrawal : withdrawals) {
            if (withdrawal.borrowedGrantId() == 0) {
                mBucket.writeOff(withdrawal.amount(), nowNanos);
            } else {
                mBorrowed.markSpent(withdrawal.borrowedGrantId(), withdrawal.amount(), nowNanos);
            }
        }
    }

    private void expire(long nowNanos) {
        mLent.values()
                .removeIf(
                        lent -> {
                            boolean expired = lent.hasExpired(nowNanos);
                            if (expired) {
                                writeOffAll(lent.resolveAll(), nowNanos);
                            }
                            return expired;
                        });
    }
}
