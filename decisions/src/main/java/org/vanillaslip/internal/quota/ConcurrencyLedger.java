package org.vanillaslip.internal.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.vanillaslip.SlowStart;

/**
 * Request slots of one incarnation of a backend server. They are granted by the one host that holds
 * the lease of the server's control shard.
 */
public final class ConcurrencyLedger {

    /**
     * Maximum age of a load report: a request that started earlier and still runs is included in
     * the reported number. Must be shorter than the validity of slots.
     */
    public static final long MAX_REPORT_AGE_NANOS = 3_000_000_000L;

    private final SlowStart mSlowStart;
    private final long mStartedAt;
    private final long mValidityNanos;
    private final LongSupplier mSlotIds;
    private final long mPreviousOwnerSlotsExpireAt;
    private final Map<Long, GrantedSlot> mSlots = new HashMap<>();
    private int mPreviousOwnerSlots;

    /** Slots that expired without a release; their requests may still be running. */
    private int mOrphanedSlots;

    /**
     * Creates a ledger for a server incarnation.
     *
     * @param startedAt start of the server on this host's clock
     * @param ownedSince when this host became the owner; if the server was already running, the
     *     previous owner may have granted all slots
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
        mPreviousOwnerSlotsExpireAt = ownedSince + QuotaTimes.withDrift(validityNanos);
        mPreviousOwnerSlots =
                startedAt < ownedSince ? ConcurrencyLimit.at(slowStart, ownedSince - startedAt) : 0;
    }

    /**
     * Grants up to the wanted number of slots and returns their IDs.
     *
     * @param running number of running requests that the server last reported
     */
    public List<Long> acquire(int wanted, int running, long nowNanos) {
        int free = limit(nowNanos) - inUse(running, nowNanos);
        List<Long> granted = new ArrayList<>();
        for (int i = 0; i < Math.min(wanted, free); i++) {
            long id = mSlotIds.getAsLong();
            mSlots.put(id, new GrantedSlot(nowNanos, expiry(nowNanos)));
            granted.add(id);
        }
        return granted;
    }

    /**
     * Extends slots that are in use. An unknown ID belongs to a slot that expired here or was
     * granted by the previous owner; its request is still running, so the slot is added.
     */
    public void renew(Collection<Long> slotIds, long nowNanos) {
        expire(nowNanos);
        for (long id : slotIds) {
            GrantedSlot known = mSlots.get(id);
            if (known == null && mOrphanedSlots > 0) {
                mOrphanedSlots--;
            }
            long grantedAt = known == null ? nowNanos - MAX_REPORT_AGE_NANOS : known.grantedAt();
            mSlots.put(id, new GrantedSlot(grantedAt, expiry(nowNanos)));
        }
    }

    /** Releases slots and ignores unknown IDs. */
    public void release(Collection<Long> slotIds) {
        slotIds.forEach(mSlots::remove);
    }

    /** Returns the maximum number of concurrent requests at the given time. */
    public int limit(long nowNanos) {
        return ConcurrencyLimit.at(mSlowStart, nowNanos - mStartedAt);
    }

    /** Returns the number of slots that may be in use, including those of a previous owner. */
    public int inUse(int running, long nowNanos) {
        expire(nowNanos);
        if (nowNanos < mPreviousOwnerSlotsExpireAt) {
            return Math.max(running, mSlots.size() + mPreviousOwnerSlots + mOrphanedSlots);
        }
        mOrphanedSlots += mPreviousOwnerSlots;
        mPreviousOwnerSlots = 0;
        long reported =
                mSlots.values().stream()
                        .filter(slot -> nowNanos - slot.grantedAt() >= MAX_REPORT_AGE_NANOS)
                        .count();
        mOrphanedSlots = (int) Math.max(0, Math.min(mOrphanedSlots, running - reported));
        return Math.max(running, mSlots.size() + mOrphanedSlots);
    }

    private void expire(long nowNanos) {
        int before = mSlots.size();
        mSlots.values().removeIf(slot -> slot.expiresAt() <= nowNanos);
        mOrphanedSlots += before - mSlots.size();
    }

    private long expiry(long nowNanos) {
        return nowNanos + QuotaTimes.withDrift(mValidityNanos);
    }
}
