package org.vanillaslip.internal.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.vanillaslip.SlowStart;

/**
 * Slots of one incarnation of a backend server, granted by the one host that holds the lease of the
 * server's control shard.
 */
public final class ConcurrencyLedger {

    private final SlowStart mSlowStart;
    private final long mStartedAt;
    private final long mValidityNanos;
    private final LongSupplier mSlotIds;
    private final int mPredecessorSlots;
    private final long mPredecessorUntil;
    private final Map<Long, Long> mExpiries = new HashMap<>();

    /**
     * Creates a ledger for a server incarnation.
     *
     * @param startedAt start of the server on this host's clock
     * @param ownedSince when this host became the owner; an owner before it may have granted all
     *     slots if the server ran already
     * @param validityNanos how long a borrower may use a slot without renewal
     */
    public ConcurrencyLedger(
            SlowStart slowStart,
            long startedAt,
            long ownedSince,
            long validityNanos,
            LongSupplier slotIds) {
        mSlowStart = slowStart;
        mStartedAt = startedAt;
        mValidityNanos = validityNanos;
        mSlotIds = slotIds;
        boolean predecessor = startedAt < ownedSince;
        mPredecessorUntil = ownedSince + QuotaTimes.withDrift(validityNanos);
        mPredecessorSlots =
                predecessor ? ConcurrencyLimit.at(slowStart, ownedSince - startedAt) : 0;
    }

    /**
     * Grants up to the wanted number of slots and returns their ids.
     *
     * @param running requests that the server last reported as running; those beyond the granted
     *     slots belong to borrowers whose slots expired while the request ran on
     */
    public List<Long> acquire(int wanted, int running, long nowNanos) {
        int free = limit(nowNanos) - Math.max(inUse(nowNanos), running);
        List<Long> granted = new ArrayList<>();
        for (int i = 0; i < Math.min(wanted, free); i++) {
            long id = mSlotIds.getAsLong();
            mExpiries.put(id, expiry(nowNanos));
            granted.add(id);
        }
        return granted;
    }

    /**
     * Extends slots that are in use and returns the renewed ids. An unknown id is a slot of the
     * previous owner whose request still runs, so it is taken over.
     */
    public List<Long> renew(Collection<Long> slotIds, long nowNanos) {
        slotIds.forEach(id -> mExpiries.put(id, expiry(nowNanos)));
        return List.copyOf(slotIds);
    }

    /** Frees slots; unknown ids do nothing. */
    public void release(Collection<Long> slotIds) {
        slotIds.forEach(mExpiries::remove);
    }

    /** Returns the limit at the given time. */
    public int limit(long nowNanos) {
        return ConcurrencyLimit.at(mSlowStart, nowNanos - mStartedAt);
    }

    /** Returns the slots that may be in use, those of a previous owner included. */
    public int inUse(long nowNanos) {
        mExpiries.values().removeIf(expiresAt -> expiresAt <= nowNanos);
        return mExpiries.size() + (nowNanos < mPredecessorUntil ? mPredecessorSlots : 0);
    }

    private long expiry(long nowNanos) {
        return nowNanos + QuotaTimes.withDrift(mValidityNanos);
    }
}
