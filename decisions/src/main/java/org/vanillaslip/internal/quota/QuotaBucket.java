package org.vanillaslip.internal.quota;

/**
 * The tokens that a host owns of one limit. Level and outstanding together never exceed the
 * capacity, so at most capacity + rate x length is spent in any window, by this host and by
 * borrowers together.
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
     * @param refillFromNanos when refill starts: after the grants of an earlier incarnation of this
     *     host have expired, because they are unknown here and may still be spent
     */
    public QuotaBucket(long refillFromNanos) {
        mRefillStartsAt = refillFromNanos;
        mRefilledAt = refillFromNanos;
    }

    /** Sets rate per second and capacity; tokens above the new capacity are lost. */
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

    /** Returns the tokens that are lent and neither reported nor expired. */
    public long outstanding() {
        return mOutstanding;
    }

    /** Returns the most that level and outstanding may hold together. */
    public long capacity() {
        return mCapacity;
    }

    /**
     * Returns whether lent tokens fit into the capacity, which a shrunk share has to wait for;
     * those of an earlier incarnation are unknown and must have expired.
     */
    public boolean fitsCapacity(long nowNanos) {
        return nowNanos >= mRefillStartsAt && mOutstanding <= mCapacity;
    }

    /** Takes tokens for use here and returns a mark for {@link #refund}. */
    public long spend(long amount, long nowNanos) {
        take(amount, nowNanos);
        return mHistory.record(mCapacity - mLevel - mOutstanding - amount);
    }

    /** Takes tokens out for a borrower; they stay counted as outstanding. */
    public void lend(long amount, long nowNanos) {
        take(amount, nowNanos);
        mOutstanding += amount;
    }

    /** Drops lent tokens that were spent, or whose fate is unknown at their expiry. */
    public void writeOff(long amount, long nowNanos) {
        refill(nowNanos);
        mHistory.record(mCapacity - mLevel - mOutstanding);
        mOutstanding -= amount;
    }

    /** Takes lent tokens back that were not spent. */
    public void takeBack(long amount, long nowNanos) {
        refill(nowNanos);
        mOutstanding -= amount;
        mLevel = Math.min(mLevel + amount, Math.max(mLevel, mCapacity - mOutstanding));
    }

    /**
     * Returns tokens of an earlier charge that were not used, as far as there was room for them
     * ever since the charge. Returns the amount that was put back.
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
            throw new IllegalArgumentException("amount " + amount + " exceeds level " + mLevel);
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
        // Only the time of the whole units is used up, so frequent calls lose no refill.
        mRefilledAt += mRatePerNano > 0 ? (long) Math.ceil(wholeUnits / mRatePerNano) : elapsed;
    }
}
