package org.vanillaslip.internal.quota;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Token bucket of one workspace, replicated on every host. Each host takes tokens from its own
 * replica immediately and learns the usage of the others from reports. Each source of reports is
 * one host, or a relay that aggregates several. Between two reports a host takes at most its share
 * of the remaining tokens by recent demand. It may exceed this share by a few calls while far more
 * tokens remain than all hosts use between reports. The overdraft of one report interval is paid
 * back before anything else is admitted.
 */
public final class ReplicatedBucket {

    /** A host that has not reported for this long is assumed to use its share. */
    private static final long REPORT_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

    /** Report interval of a host that has reported being idle; it reports new calls at once. */
    private static final long IDLE_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

    /** A host with calls reports at least this often, so that it does not count as silent. */
    private static final long BUSY_INTERVAL_NANOS = Duration.ofMillis(600).toNanos();

    /** Timeout for a host that has reported being idle: its interval plus the regular timeout. */
    private static final long IDLE_TIMEOUT_NANOS = IDLE_INTERVAL_NANOS + REPORT_TIMEOUT_NANOS;

    /** A host that has not reported for this long has been stopped. */
    private static final long SOURCE_REMOVAL_NANOS = Duration.ofSeconds(30).toNanos();

    /** Longest retry delay for a caller, whatever the expected wait. */
    private static final double MAX_RETRY_DELAY_NANOS = 10e9;

    /** Demand is averaged over this time. */
    private static final double DEMAND_AVERAGING_NANOS = 2e9;

    /** Fraction of the rate that is the minimum demand of all hosts, so that each has a share. */
    private static final double IDLE_DEMAND_FRACTION = 0.1;

    /**
     * While more remains than callers request from all hosts in this time, a host may exceed its
     * share by a few calls. Others' usage is known after three report intervals of 200 ms: of the
     * host, of its relay and of the receiver's relay.
     */
    private static final double SURPLUS_DEMAND_SECONDS = 0.6;

    /** Fraction of the burst after which a host reports before the next report interval. */
    private static final double URGENT_BURST_FRACTION = 0.05;

    private final Map<String, UsageSource> mSources = new HashMap<>();

    /** Tokens admitted by removed sources, so that the totals in summaries never decrease. */
    private final Map<String, Long> mRemovedUsage = new HashMap<>();

    private final double mOverdraft;
    private double mRatePerNano;
    private double mBurst;
    private double mLevel;
    private long mUpdatedAt;
    private boolean mAwaitingFirstReport = true;
    private int mHostCount = 1;
    private long mAdmitted;
    private double mDemand;
    private long mDemandAt;
    private double mTakenSinceReport;
    private double mRefusedBacklog;
    private long mRefusedAt;
    private long mReportedAt;
    private boolean mReportedIdle;
    private long mSummarySentAt;
    private double mUsedSinceSummary;
    private boolean mChangedSinceSummary;
    private long mAdmittedAtSummary;

    /**
     * Creates an empty bucket, because the usage by an earlier incarnation of this host is unknown.
     *
     * @param overdraft tokens that may be taken beyond the burst, because reports lag
     */
    public ReplicatedBucket(double overdraft, long nowNanos) {
        mOverdraft = overdraft;
        mUpdatedAt = nowNanos;
        mDemandAt = nowNanos;
        mReportedAt = nowNanos - IDLE_INTERVAL_NANOS;
    }

    /** Sets rate and burst; tokens above the new burst are lost. */
    public void resize(double ratePerSecond, double burst, long nowNanos) {
        refill(nowNanos);
        mRatePerNano = ratePerSecond / 1e9;
        mBurst = burst;
        mLevel = Math.min(mLevel, burst);
    }

    /** Adds the other hosts, so that hosts that have never reported also have a share. */
    public void updateSources(Collection<String> hosts, long nowNanos) {
        updateSources(hosts.stream().collect(Collectors.toMap(host -> host, host -> 1)), nowNanos);
    }

    /** Adds or updates the sources and their host counts, and removes silent sources. */
    public void updateSources(Map<String, Integer> sources, long nowNanos) {
        refill(nowNanos);
        sources.forEach(
                (source, hosts) ->
                        mSources.computeIfAbsent(source, name -> new UsageSource(hosts, nowNanos))
                                .setHosts(hosts));
        removeSources(source -> nowNanos - source.lastReportAt() > SOURCE_REMOVAL_NANOS);
        mSources.values()
                .forEach(source -> source.removeSilentRelays(nowNanos - SOURCE_REMOVAL_NANOS));
        countHosts();
    }

    /** Removes all sources, because different sources report from now on. */
    public void removeAllSources(long nowNanos) {
        refill(nowNanos);
        removeSources(source -> true);
        countHosts();
    }

    private void removeSources(Predicate<UsageSource> condition) {
        mSources.entrySet()
                .removeIf(
                        entry -> {
                            boolean removed = condition.test(entry.getValue());
                            if (removed) {
                                mRemovedUsage.merge(
                                        entry.getKey(),
                                        entry.getValue().totalAdmitted(),
                                        Long::sum);
                            }
                            return removed;
                        });
    }

    private void countHosts() {
        mHostCount = 1;
        for (UsageSource source : mSources.values()) {
            mHostCount += source.hosts();
        }
    }

    /** Takes the tokens unless this host has used up its share of the remaining tokens. */
    public boolean tryAcquire(long tokens, long nowNanos) {
        refill(nowNanos);
        mDemand = demand(nowNanos) + tokens;
        mDemandAt = nowNanos;
        double remaining = mLevel + mOverdraft;
        double ownShare = share(nowNanos) * (remaining + mTakenSinceReport);
        if (remaining <= 0 || (mTakenSinceReport >= ownShare && !hasSurplus(tokens, nowNanos))) {
            return false;
        }
        mLevel -= tokens;
        mTakenSinceReport += tokens;
        mAdmitted += tokens;
        return true;
    }

    /**
     * Returns whether a call may exceed this host's share, which can be less than one call on a
     * host with few calls. This is safe while the level covers the demand on all hosts until they
     * have received the next reports.
     */
    private boolean hasSurplus(long tokens, long nowNanos) {
        double surplusLevel = SURPLUS_DEMAND_SECONDS * knownDemand(nowNanos);
        return mTakenSinceReport + tokens <= mOverdraft && mLevel - tokens >= surplusLevel;
    }

    /** Refunds the tokens of a call that did not run. */
    public void refund(long tokens, long nowNanos) {
        refill(nowNanos);
        mLevel = Math.min(mBurst, mLevel + tokens);
        mTakenSinceReport = Math.max(0, mTakenSinceReport - tokens);
        mAdmitted -= tokens;
    }

    /**
     * Records a refused call and returns its retry delay. Calls that were refused before it are
     * expected to be retried and are served first.
     */
    public Duration recordRefusal(long tokens, long nowNanos) {
        refill(nowNanos);
        double ownRate = Math.max(1e-12, mRatePerNano * share(nowNanos));
        mRefusedBacklog = Math.max(0, mRefusedBacklog - (nowNanos - mRefusedAt) * ownRate);
        mRefusedAt = nowNanos;
        double missing = Math.max(0, -mLevel - mOverdraft) + tokens;
        double wait = missing / Math.max(1e-12, mRatePerNano) + mRefusedBacklog / ownRate;
        mRefusedBacklog += tokens;
        return Duration.ofNanos((long) Math.min(wait, MAX_RETRY_DELAY_NANOS));
    }

    /** Returns whether this host should report at the next report interval. */
    public boolean isReportDue(long nowNanos) {
        boolean unreported = mBurst > 0 && mTakenSinceReport > 0;
        boolean idle = mReportedIdle && isIdle(demandPerSecond(nowNanos), 1);
        long age = nowNanos - mReportedAt;
        return unreported || age >= (idle ? IDLE_INTERVAL_NANOS : BUSY_INTERVAL_NANOS);
    }

    /** Returns whether the other hosts need the next report early, to stay within the burst. */
    public boolean isReportUrgent() {
        return mBurst > 0 && mTakenSinceReport / mBurst > URGENT_BURST_FRACTION;
    }

    /** Returns a report for the other hosts and starts a new report interval. */
    public BucketUsage report(long nowNanos) {
        refill(nowNanos);
        mTakenSinceReport = 0;
        mReportedAt = nowNanos;
        mReportedIdle = isIdle(demandPerSecond(nowNanos), 1);
        return new BucketUsage(mAdmitted, demandPerSecond(nowNanos), (long) mLevel);
    }

    /** Applies the report of another host. */
    public void apply(String host, String incarnation, BucketUsage usage, long nowNanos) {
        refill(nowNanos);
        UsageSource source = source(host, 1, nowNanos);
        applyChange(source.apply(incarnation, usage, nowNanos), usage.level());
    }

    /**
     * Applies the report of a relay.
     *
     * @param source the aggregated hosts; several relays may report the same source
     * @param relay name and incarnation of the relay
     */
    public void apply(String source, String relay, BucketSummary summary, long nowNanos) {
        refill(nowNanos);
        UsageSource knownSource = source(source, summary.hosts(), nowNanos);
        applyChange(knownSource.apply(relay, summary, nowNanos), summary.level());
    }

    private UsageSource source(String name, int hosts, long nowNanos) {
        return mSources.computeIfAbsent(name, added -> new UsageSource(hosts, nowNanos));
    }

    private void applyChange(double change, long reportedLevel) {
        if (mAwaitingFirstReport) {
            mLevel = reportedLevel;
            mAwaitingFirstReport = false;
        } else {
            mLevel += change;
        }
        mLevel = Math.min(mBurst, mLevel);
        mChangedSinceSummary |= change != 0;
        mUsedSinceSummary += Math.max(0, -change);
        countHosts();
    }

    /** Summarizes this host and the given sources for hosts that do not get their reports. */
    public BucketSummary summarize(Predicate<String> includes, long nowNanos) {
        refill(nowNanos);
        long admitted = mAdmitted;
        for (Map.Entry<String, Long> entry : mRemovedUsage.entrySet()) {
            if (includes.test(entry.getKey())) {
                admitted += entry.getValue();
            }
        }
        double demand = demandPerSecond(nowNanos);
        int hosts = 1;
        double silentDemand = 0;
        for (Map.Entry<String, UsageSource> entry : mSources.entrySet()) {
            if (includes.test(entry.getKey())) {
                UsageSource source = entry.getValue();
                admitted += source.totalAdmitted();
                demand += source.demand();
                hosts += source.hosts();
                silentDemand +=
                        isReporting(source, nowNanos) ? source.silentDemand() : weight(source);
            }
        }
        return new BucketSummary(
                admitted, (long) demand, (long) mLevel, hosts, (long) silentDemand);
    }

    /** Returns whether a relay should send a new summary. */
    public boolean isSummaryDue(long nowNanos) {
        boolean idle = isIdle(knownDemand(nowNanos), 1);
        long age = nowNanos - mSummarySentAt;
        return mChangedSinceSummary
                || admittedSinceSummary() > 0
                || age >= (idle ? IDLE_INTERVAL_NANOS : BUSY_INTERVAL_NANOS);
    }

    /** Returns whether a relay should send a new summary before the report interval ends. */
    public boolean isSummaryUrgent() {
        return mBurst > 0 && mUsedSinceSummary / mBurst > URGENT_BURST_FRACTION;
    }

    /** Records that the summaries were sent. */
    public void recordSummarySent(long nowNanos) {
        mSummarySentAt = nowNanos;
        mUsedSinceSummary = 0;
        mChangedSinceSummary = false;
        mAdmittedAtSummary = mAdmitted;
    }

    private long admittedSinceSummary() {
        return mAdmitted - mAdmittedAtSummary;
    }

    /** Returns the level according to this host. */
    public double level(long nowNanos) {
        refill(nowNanos);
        return mLevel;
    }

    /** Returns the known tokens per second that callers request from all hosts. */
    public double knownDemand(long nowNanos) {
        double demand = demandPerSecond(nowNanos);
        for (UsageSource source : mSources.values()) {
            demand += source.demand();
        }
        return demand;
    }

    /** Returns the part of the demand that belongs to hosts that currently don't report. */
    public double silentDemand(long nowNanos) {
        double silentDemand = 0;
        for (UsageSource source : mSources.values()) {
            silentDemand += isReporting(source, nowNanos) ? source.silentDemand() : weight(source);
        }
        return silentDemand;
    }

    /**
     * Returns the tokens admitted by this host, and by current sources since their first reports.
     */
    public long totalAdmitted() {
        return mAdmitted + mSources.values().stream().mapToLong(UsageSource::totalAdmitted).sum();
    }

    private void refill(long nowNanos) {
        double elapsed = nowNanos - mUpdatedAt;
        mUpdatedAt = nowNanos;
        if (elapsed <= 0) {
            return;
        }
        double gained = elapsed * mRatePerNano;
        double total = totalDemand(nowNanos);
        for (UsageSource source : mSources.values()) {
            if (!isReporting(source, nowNanos)) {
                double used = gained * weight(source) / total;
                source.assumeUsage(used);
                mLevel -= used;
            } else if (source.silentDemand() > 0) {
                double used = gained * source.silentDemand() / total;
                source.assumeSilentUsage(used);
                mLevel -= used;
            }
        }
        mLevel = Math.min(mBurst, mLevel + gained);
    }

    private double share(long nowNanos) {
        return weight(demandPerSecond(nowNanos), 1) / totalDemand(nowNanos);
    }

    private double totalDemand(long nowNanos) {
        double total = weight(demandPerSecond(nowNanos), 1);
        for (UsageSource source : mSources.values()) {
            total += weight(source);
        }
        return total;
    }

    private double weight(UsageSource source) {
        return weight(source.demand(), source.hosts());
    }

    private double weight(double demandPerSecond, int hosts) {
        return Math.max(hosts, demandPerSecond + idleDemand() * hosts);
    }

    /** Returns the demand per second that each host counts as having at least. */
    private double idleDemand() {
        return IDLE_DEMAND_FRACTION * mRatePerNano * 1e9 / mHostCount;
    }

    private boolean isIdle(double demandPerSecond, int hosts) {
        return demandPerSecond <= idleDemand() * hosts;
    }

    private boolean isReporting(UsageSource source, long nowNanos) {
        boolean idle = isIdle(source.demand(), source.hosts());
        return source.hasReportedWithin(idle ? IDLE_TIMEOUT_NANOS : REPORT_TIMEOUT_NANOS, nowNanos);
    }

    private long demandPerSecond(long nowNanos) {
        return (long) (demand(nowNanos) * 1e9 / DEMAND_AVERAGING_NANOS);
    }

    private double demand(long nowNanos) {
        return mDemand * Math.exp(-(nowNanos - mDemandAt) / DEMAND_AVERAGING_NANOS);
    }
}
