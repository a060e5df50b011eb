package org.vanillaslip.internal.fleet;

/**
 * Tracks when the order count of a server last rose without an accepted order of this host. Such a
 * rise shows that the server has executed an order of another host.
 */
public final class OrderCountHistory {

    private long mCount;
    private long mOwnCount;
    private long mRaisedAtNanos = Long.MIN_VALUE / 2;

    /**
     * Creates the history of a server that has just been listed.
     *
     * @param count orders that the server has accepted since its start
     */
    public OrderCountHistory(long count, long nowNanos) {
        mCount = count;
        if (count > 0) {
            mRaisedAtNanos = nowNanos;
        }
    }

    /** Records that the server has accepted an order of this host. */
    public void recordOwnOrder(long expectedOrders) {
        mOwnCount = Math.max(mOwnCount, expectedOrders + 1);
    }

    /** Records the count that a report or the server's registration shows. */
    public void recordCount(long count, long nowNanos) {
        if (count > mCount && count > mOwnCount) {
            mRaisedAtNanos = nowNanos;
        }
        mCount = count;
    }

    /** Returns when the count was first seen to include an order of another host. */
    public long raisedAtNanos() {
        return mRaisedAtNanos;
    }
}
