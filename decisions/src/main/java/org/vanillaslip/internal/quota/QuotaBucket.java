package org.vanillaslip.internal.quota;

/**
 * Token bucket for a host's own share of a limit. Level and outstanding tokens together never
 * exceed the capacity, so in a time window of any length, this host and its borrowers together
 * spend at most capacity + rate x length of the window.
 */
public final class QuotaBucket {

    private final HeadroomHistory mHistory = new HeadroomHistory();
    private final long mRefillStartsAt;
    private double mRatePerNano;
    private long mCapacity;
    private long mLevel;
    private long mOutstanding;
    private long mRefilledAt;

    /**
     * Creates an empty bucket.
     *
     * @param refillFromNanos when refill starts. Must be after the grants of an earlier incarnation
     *     of this host have expired, because they are unknown here and may still be spent
     */
    public QuotaBucket(long refillFromNanos) {
        mRefillStartsAt = refillFromNanos;
        mRefilledAt = refillFromNanos;
    }

    /** Sets rate and capacity; tokens above the new capacity are lost. */
    public void resize(double ratePerSecond, long capacity, long nowNanos) {
        refill(nowNanos);
        mRatePerNano = ratePerSecond / 1e9;
        if (capacity != mCapacity) {
            mCapacity = capacity;
            mLevel = Math.min(mLevel, Math.max(0, capacity - mOutstanding));
            mHistory.clear();
        }
    }

    /** Returns the tokens that can be spent or lent now. */
    public long level(long nowNanos) {
        refill(nowNanos);
        return mLevel;
    }

    /** Returns the time until refill starts. */
    public long nanosUntilRefill(long nowNanos) {
        return Math.max(0, mRefillStartsAt - nowNanos);
    }

    /** Returns the tokens that are lent and neither reported as used nor expired. */
    public long outstanding() {
        return mOutstanding;
    }

    /** Returns the maximum of level and outstanding tokens together. */
    public long capacity() {
        return mCapacity;
    }

    /**
     * Returns whether lent tokens fit into the capacity. A smaller share may only be confirmed once
     * they do. Tokens lent by an earlier incarnation are unknown and must have expired.
     */
    public boolean fitsCapacity(long nowNanos) {
        return nowNanos >= mRefillStartsAt && mOutstanding <= mCapacity;
    }

    /** Takes tokens for use on this host and returns the headroom sequence for {@link #refund}. */
    public long spend(long amount, long nowNanos) {
        take(amount, nowNanos);
        return mHistory.record(mCapacity - mLevel - mOutstanding - amount);
    }

    /** Takes tokens for a borrower and counts them as outstanding. */
    public void lend(long amount, long nowNanos) {
        take(amount, nowNanos);
        mOutstanding += amount;
    }

    /** Removes lent tokens that were spent, or that expired without a report. */
    public void writeOff(long amount, long nowNanos) {
        refill(nowNanos);
        mHistory.record(mCapacity - mLevel - mOutstanding);
        mOutstanding -= amount;
    }

    /** Takes back lent tokens that were not spent. */
    public void takeBack(long amount, long nowNanos) {
        refill(nowNanos);
        mOutstanding -= amount;
        mLevel = Math.min(mLevel + amount, Math.max(mLevel, mCapacity - mOutstanding));
    }

    /**
     * Refunds unused tokens of an earlier charge, limited to the headroom that existed during the
     * whole time since the charge. Returns the refunded amount.
     */
    public long refund(long amount, long headroomSequence, long nowNanos) {
        refill(nowNanos);
        long headroom = mHistory.smallestAfter(headroomSequence, mCapacity - mLevel - mOutstanding);
        long returned = Math.min(amount, headroom);
        mLevel += returned;
        mHistory.subtract(returned);
        return returned;
    }

    private void take(long amount, long nowNanos) {
        refill(nowNanos);
        if (amount < 0 || amount > mLevel) {
            throw new IllegalArgumentException(
                    "amount " + amount + " is negative or exceeds level " + mLevel);
        }
        mLevel -= amount;
    }

    private void refill(long nowNanos) {
        long elapsed = nowNanos - mRefilledAt;
        if (elapsed <= 0) {
            return;
        }
        long headroom = Math.max(0, mCapacity - mLevel - mOutstanding);
        double gained = elapsed * mRatePerNano;
        if (gained >= headroom) {
            mLevel += headroom;
            mRefilledAt = nowNanos;
            return;
        }
        long wholeUnits = (long) gained;
        mLevel += wholeUnits;
        // Advances only by the time of the whole units, so that frequent calls lose no refill.
        mRefilledAt += mRatePerNano > 0 ? (long) Math.ceil(wholeUnits / mRatePerNano) : elapsed;
    }
}
