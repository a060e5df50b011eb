package org.vanillaslip.internal.lease;

/**
 * What one host knows about the lease of a shard.
 *
 * @param holding whether this host's write was the last one known
 * @param term the term that this host holds
 * @param validFromNanos when the last successful write was sent
 * @param version last version seen
 * @param versionSeenSinceNanos when this version was first seen
 */
public record LeaseState(
        boolean holding, long term, long validFromNanos, long version, long versionSeenSinceNanos) {

    /** Returns the state of a host that has not read the object yet. */
    public static LeaseState unknown(long nowNanos) {
        return new LeaseState(false, 0, 0, -1, nowNanos);
    }

    /** Applies a read that shows an object that this host did not write. */
    public LeaseState observed(long readVersion, LeaseRecord lease, String host, long nowNanos) {
        boolean stillHolding = holding && lease.holder().equals(host) && lease.term() == term;
        long since = readVersion == version ? versionSeenSinceNanos : nowNanos;
        return new LeaseState(stillHolding, term, validFromNanos, readVersion, since);
    }

    /** Applies a write that took effect; validity counts from the sending. */
    public LeaseState written(long newVersion, LeaseRecord lease, long sentNanos, long nowNanos) {
        return new LeaseState(!lease.released(), lease.term(), sentNanos, newVersion, nowNanos);
    }

    /** Gives up a lease whose validity has passed, for example after a pause. */
    public LeaseState expire(LeaseTimes times, long nowNanos) {
        if (holding && nowNanos - validFromNanos >= times.validity().toNanos()) {
            return new LeaseState(false, term, validFromNanos, version, nowNanos);
        }
        return this;
    }

    /** Returns whether this host may make new decisions. */
    public boolean mayDecide(LeaseTimes times, long nowNanos) {
        return holding && nowNanos - validFromNanos < times.decisionPeriodNanos();
    }

    /** Returns whether the holder should write to stay the holder. */
    public boolean renewalDue(LeaseTimes times, long nowNanos) {
        return holding && nowNanos - validFromNanos >= times.renewalAgeNanos();
    }

    /** Returns whether a candidate of the given rank may take the lease. */
    public boolean mayTake(LeaseTimes times, LeaseRecord lease, int rank, long nowNanos) {
        return !holding
                && version >= 0
                && nowNanos - versionSeenSinceNanos >= times.takeoverWaitNanos(lease, rank);
    }
}
