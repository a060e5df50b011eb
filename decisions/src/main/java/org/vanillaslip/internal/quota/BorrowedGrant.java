package org.vanillaslip.internal.quota;

/**
 * The borrower's record of a grant. Each token is free, spent, returned or lent on to another host;
 * tokens lent on are tracked by the {@link LentGrant} that lends them.
 */
final class BorrowedGrant {

    private final long mId;
    private final String mGranter;
    private final long mExpiresAt;
    private long mFree;
    private long mSpent;
    private long mReturned;
    private long mReportedSpent;
    private long mReportedReturned;
    private int mSequence;

    BorrowedGrant(String granter, Grant grant, long expiresAt) {
        mId = grant.id();
        mGranter = granter;
        mExpiresAt = expiresAt;
        mFree = grant.amount();
    }

    long id() {
        return mId;
    }

    String granter() {
        return mGranter;
    }

    long expiresAt() {
        return mExpiresAt;
    }

    long free() {
        return mFree;
    }

    /** Takes up to the given number of free tokens and returns how many were taken. */
    long takeFree(long amount) {
        long taken = Math.min(amount, mFree);
        mFree -= taken;
        return taken;
    }

    void putBack(long amount) {
        mFree += amount;
    }

    void markSpent(long amount) {
        mSpent += amount;
    }

    /** Marks up to the given number of free tokens as returned to the granter. */
    long returnFree(long amount) {
        long returned = takeFree(amount);
        mReturned += returned;
        return returned;
    }

    /** Moves spent tokens back to free, limited to those not yet reported as spent. */
    long refund(long amount) {
        long refunded = Math.min(amount, mSpent - mReportedSpent);
        mSpent -= refunded;
        mFree += refunded;
        return refunded;
    }

    boolean hasUnreportedUsage() {
        return mSpent > mReportedSpent || mReturned > mReportedReturned;
    }

    GrantUsage report() {
        mReportedSpent = mSpent;
        mReportedReturned = mReturned;
        mSequence++;
        return new GrantUsage(mId, mSpent, mReturned, mSequence);
    }
}
