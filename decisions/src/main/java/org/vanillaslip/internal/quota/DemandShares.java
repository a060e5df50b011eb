package org.vanillaslip.internal.quota;

import java.time.Duration;

/** The parts of a rate that hosts take by their recent demand, as known to this host. */
final class DemandShares {

    /** A host that has not reported for this long is assumed to use its share. */
    private static final long REPORT_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

    /** Timeout for a host that has reported being idle: its interval plus the regular timeout. */
    private static final long IDLE_TIMEOUT_NANOS =
            ReplicatedBucket.IDLE_INTERVAL_NANOS + REPORT_TIMEOUT_NANOS;

    /** Fraction of the rate that is the minimum demand of all hosts, so that each has a share. */
    private static final double IDLE_DEMAND_FRACTION = 0.1;

    private final UsageSources mSources;
    private final DemandAverage mDemand;
    private double mRatePerSecond;

    DemandShares(UsageSources sources, long nowNanos) {
        mSources = sources;
        mDemand = new DemandAverage(nowNanos);
    }

    void setRate(double ratePerSecond) {
        mRatePerSecond = ratePerSecond;
    }

    /** Records that a caller of this host requests the tokens. */
    void recordDemand(long tokens, long nowNanos) {
        mDemand.add(tokens, nowNanos);
    }

    /** Returns the tokens per second that callers request from this host. */
    long ownDemand(long nowNanos) {
        return mDemand.perSecond(nowNanos);
    }

    /** Returns the known tokens per second that callers request from all hosts. */
    double knownDemand(long nowNanos) {
        return ownDemand(nowNanos) + mSources.all().stream().mapToDouble(UsageSource::demand).sum();
    }

    /** Returns the part of the demand that belongs to hosts that currently don't report. */
    double silentDemand(long nowNanos) {
        return mSources.all().stream().mapToDouble(source -> silentDemand(source, nowNanos)).sum();
    }

    /** Returns the part of the rate that this host takes. */
    double share(long nowNanos) {
        return weight(mDemand.perSecond(nowNanos), 1) / totalDemand(nowNanos);
    }

    /** Returns the part of the others' demand that belongs to hosts that may not hear this one. */
    double silentPart(long nowNanos) {
        double silent = silentDemand(nowNanos);
        double others = totalDemand(nowNanos) - weight(mDemand.perSecond(nowNanos), 1);
        return silent == 0 ? 0 : Math.min(1, silent / others);
    }

    double silentDemand(UsageSource source, long nowNanos) {
        return isSilent(source, nowNanos) ? weight(source, nowNanos) : source.silentDemand();
    }

    double totalDemand(long nowNanos) {
        return weight(mDemand.perSecond(nowNanos), 1)
                + mSources.all().stream().mapToDouble(source -> weight(source, nowNanos)).sum();
    }

    double weight(UsageSource source, long nowNanos) {
        return weight(demand(source, nowNanos), source.hosts());
    }

    /** Returns the demand of a source; hosts that are unknown are taken to be like this one. */
    double demand(UsageSource source, long nowNanos) {
        return source.isDemandUnknown(REPORT_TIMEOUT_NANOS, nowNanos)
                ? (double) mDemand.perSecond(nowNanos) * source.hosts()
                : source.demand();
    }

    private double weight(double demandPerSecond, int hosts) {
        return Math.max(hosts, demandPerSecond + idleDemand() * hosts);
    }

    /** Returns the demand per second that each host counts as having at least. */
    private double idleDemand() {
        return IDLE_DEMAND_FRACTION * mRatePerSecond / mSources.hostCount();
    }

    boolean isIdle(double demandPerSecond, int hosts) {
        return demandPerSecond <= idleDemand() * hosts;
    }

    /** Returns whether nothing is known of what the source uses now. */
    boolean isSilent(UsageSource source, long nowNanos) {
        if (!source.hasReported()) {
            return source.isDemandUnknown(REPORT_TIMEOUT_NANOS, nowNanos);
        }
        boolean idle = isIdle(source.demand(), source.hosts());
        return !source.hasReportedWithin(
                idle ? IDLE_TIMEOUT_NANOS : REPORT_TIMEOUT_NANOS, nowNanos);
    }
}
