package org.vanillaslip.internal.lease;

/**
 * State of the lease of a shard as one host knows it.
 *
 * @param holding whether this host made the last known write
 * @param term term of the last write of this host
 * @param validFromNanos when this host sent its last successful write
 * @param version last version read or written; -1 before the first read
 * @param versionSeenSinceNanos when this host first saw that version
 */
public record LeaseState(
        boolean holding, long term, long validFromNanos, long version, long versionSeenSinceNanos) {

    /** Returns the state of a host that has not read the shard object yet. */
    public static LeaseState unknown(long nowNanos) {
        return new LeaseState(false, 0, 0, -1, nowNanos);
    }

    /** Returns the state after a read of an object that this host did not write. */
    public LeaseState observed(long readVersion, LeaseRecord lease, String host, long nowNanos) {
        boolean stillHolding = holding && lease.holder().equals(host) && lease.term() == term;
        long since = readVersion == version ? versionSeenSinceNanos : nowNanos;
        return new LeaseState(stillHolding, term, validFromNanos, readVersion, since);
    }

    /** Returns the state after a successful write; the validity counts from when it was sent. */
    public LeaseState written(long newVersion, LeaseRecord lease, long sentNanos, long nowNanos) {
        return new LeaseState(!lease.released(), lease.term(), sentNanos, newVersion, nowNanos);
    }

    /** Returns a state without the lease if its validity has passed, for example after a pause. */
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

    /** Returns whether this host holds the lease and should renew it. */
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
