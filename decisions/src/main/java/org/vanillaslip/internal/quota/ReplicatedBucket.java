package org.vanillaslip.internal.quota;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Token bucket of one workspace, replicated on every host. Each host takes tokens from its own
 * replica immediately and learns the usage of the others from reports. Each source of reports is
 * one host, or a relay that aggregates several. Between two reports a host takes at most its share
 * of the remaining tokens by recent demand, or its part of the refill. It may exceed both by a few
 * calls while far more tokens remain than all hosts use between reports. The overdraft of one
 * report interval is paid back before anything else is admitted.
 *
 * <p>What is not known counts as used: sources are assumed to use tokens until they report, and a
 * host that has just started takes only its equal part of the rate until it knows the level.
 */
public final class ReplicatedBucket {

    /** Report interval of a host that has reported being idle; it reports new calls at once. */
    static final long IDLE_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

    /** A host with calls reports at least this often, so that it does not count as silent. */
    private static final long BUSY_INTERVAL_NANOS = Duration.ofMillis(600).toNanos();

    /** Time in which hosts link to a host that has started, unless they cannot reach it. */
    private static final long LEVEL_TIMEOUT_NANOS = Duration.ofSeconds(3).toNanos();

    /**
     * While more remains than callers request from all hosts in this time, a host may exceed its
     * share by a few calls. Others' usage is known after three report intervals of 200 ms: of the
     * host, of its relay and of the receiver's relay.
     */
    private static final double SURPLUS_DEMAND_SECONDS = 0.6;

    /** Fraction of the burst after which a host reports before the next report interval. */
    private static final double URGENT_BURST_FRACTION = 0.05;

    private final UsageSources mSources = new UsageSources();
    private final HeadroomHistory mHeadroom = new HeadroomHistory();
    private final RefusedBacklog mRefused = new RefusedBacklog();
    private final SummarySchedule mSummaries = new SummarySchedule();
    private final OwnPart mOwnPart = new OwnPart();
    private final DemandShares mShares;
    private final double mOverdraft;
    private double mRatePerNano;
    private double mBurst;
    private double mLevel;
    private long mUpdatedAt;
    private boolean mHostsKnown;
    private long mHostsKnownAt;
    private boolean mLevelKnown;
    private long mAdmitted;
    private double mTakenSinceReport;
    private long mReportedAt;
    private boolean mReportedIdle;

    /**
     * Creates a bucket that admits nothing until the hosts are known.
     *
     * @param overdraft tokens that may be taken beyond the burst, because reports lag
     */
    public ReplicatedBucket(double overdraft, long nowNanos) {
        mOverdraft = overdraft;
        mShares = new DemandShares(mSources, nowNanos);
        mUpdatedAt = nowNanos;
        mReportedAt = nowNanos - IDLE_INTERVAL_NANOS;
    }

    /** Sets rate and burst; tokens above the new burst are lost. */
    public void resize(double ratePerSecond, double burst, long nowNanos) {
        refill(nowNanos);
        if (burst != mBurst) {
            mHeadroom.clear();
        }
        mRatePerNano = ratePerSecond / 1e9;
        mShares.setRate(ratePerSecond);
        mBurst = burst;
        mLevel = Math.min(mLevel, burst);
    }

    /** Adds or updates the other hosts as sources. */
    public void updateSources(Collection<String> hosts, long nowNanos) {
        updateSources(hosts.stream().collect(Collectors.toMap(host -> host, host -> 1)), nowNanos);
    }

    /** Adds or updates the sources and their host counts, and removes silent sources. */
    public void updateSources(Map<String, Integer> sources, long nowNanos) {
        refill(nowNanos);
        mSources.update(sources, nowNanos);
        if (!mHostsKnown) {
            mHostsKnown = true;
            mHostsKnownAt = nowNanos;
        }
        updateLevelKnown(nowNanos);
    }

    /** Removes all sources, because different sources report from now on. */
    public void removeAllSources(long nowNanos) {
        refill(nowNanos);
        mSources.replaceAll();
    }

    /**
     * Without a host that knows the level, all hosts have started lately, or are cut off. The
     * overdraft of earlier processes may have been used and counts as not paid back.
     */
    private void updateLevelKnown(long nowNanos) {
        boolean timeout = nowNanos - mHostsKnownAt >= LEVEL_TIMEOUT_NANOS;
        if (mHostsKnown && !mLevelKnown && (timeout || mSources.allHaveReported())) {
            setLevel(-mOverdraft);
            mOwnPart.delayNextCall();
        }
    }

    private void setLevel(double level) {
        mLevelKnown = true;
        mLevel = Math.min(mBurst, level);
        mHeadroom.clear();
        // Hosts that are added from now on have no demand yet.
        mSources.expectDemandPerHost(0);
    }

    /** Takes the tokens unless this host has used up its share of the remaining tokens. */
    public Optional<AdmittedCharge> tryAcquire(long tokens, long nowNanos) {
        refill(nowNanos);
        mShares.recordDemand(tokens, nowNanos);
        mOwnPart.recordCall(tokens);
        if (!(mLevelKnown ? hasShare(tokens, nowNanos) : mOwnPart.tokens() >= tokens)) {
            return Optional.empty();
        }
        long sequence = mHeadroom.record(ownHeadroom(nowNanos));
        mOwnPart.take(tokens);
        mLevel -= tokens;
        mTakenSinceReport += tokens;
        mAdmitted += tokens;
        return Optional.of(new AdmittedCharge(tokens, sequence));
    }

    private boolean hasShare(long tokens, long nowNanos) {
        double remaining = mLevel + mOverdraft;
        double ownShare = mShares.share(nowNanos) * (remaining + mTakenSinceReport);
        return remaining > 0
                && (mTakenSinceReport + tokens <= ownShare
                        || mOwnPart.tokens() >= 0
                        || hasSurplus(tokens, nowNanos));
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

    /**
     * Refunds the tokens of a call that did not run. Those that the bucket would have lost since
     * the charge, because it was full, are not refunded.
     */
    public void refund(AdmittedCharge charge, long nowNanos) {
        refill(nowNanos);
        long returned =
                Math.min(
                        charge.tokens(),
                        mHeadroom.smallestAfter(charge.headroomSequence(), ownHeadroom(nowNanos)));
        mHeadroom.subtract(returned);
        mOwnPart.add(returned);
        mLevel += returned;
        mTakenSinceReport = Math.max(0, mTakenSinceReport - returned);
        mAdmitted -= returned;
    }

    /** Returns this host's part of the headroom, as all hosts may refund calls at the same time. */
    private long ownHeadroom(long nowNanos) {
        return (long) ((mBurst - mLevel) * mShares.share(nowNanos));
    }

    /**
     * Records a refused call and returns its retry delay. Calls that were refused before it are
     * expected to be retried and are served first. Other hosts may know the level already.
     */
    public Duration recordRefusal(long tokens, long nowNanos) {
        refill(nowNanos);
        if (!mLevelKnown) {
            return Duration.ZERO;
        }
        double missing = Math.max(0, -mLevel - mOverdraft) + tokens;
        return mRefused.add(tokens, missing, mRatePerNano, mShares.share(nowNanos), nowNanos);
    }

    /** Returns whether this host should report at the next report interval. */
    public boolean isReportDue(long nowNanos) {
        boolean unreported = mBurst > 0 && mTakenSinceReport > 0;
        boolean idle = mReportedIdle && mShares.isIdle(mShares.ownDemand(nowNanos), 1);
        return unreported
                || nowNanos - mReportedAt >= (idle ? IDLE_INTERVAL_NANOS : BUSY_INTERVAL_NANOS);
    }

    /** Returns whether the other hosts need the next report early, to stay within the burst. */
    public boolean isReportUrgent() {
        return mBurst > 0 && mTakenSinceReport / mBurst > URGENT_BURST_FRACTION;
    }

    /** Returns a report for the other hosts and starts a new report interval. */
    public BucketUsage report(long nowNanos) {
        refill(nowNanos);
        long demand = mShares.ownDemand(nowNanos);
        mTakenSinceReport *= mShares.silentPart(nowNanos);
        mReportedAt = nowNanos;
        mReportedIdle = mShares.isIdle(demand, 1);
        return new BucketUsage(mAdmitted, demand, (long) mLevel, mLevelKnown);
    }

    /** Applies the report of another host. */
    public void apply(String host, String incarnation, BucketUsage usage, long nowNanos) {
        refill(nowNanos);
        UsageSource source = mSources.source(host, 1, nowNanos);
        long admitted = source.totalAdmitted();
        applyChange(source.apply(incarnation, usage, nowNanos), nowNanos);
        mSummaries.recordUsage(source.totalAdmitted() - admitted);
        adoptLevel(usage.levelKnown(), usage.level(), nowNanos);
    }

    /**
     * Applies the report of a relay.
     *
     * @param source the aggregated hosts; several relays may report the same source
     * @param relay name and incarnation of the relay
     */
    public void apply(String source, String relay, BucketSummary summary, long nowNanos) {
        refill(nowNanos);
        UsageSource knownSource = mSources.source(source, summary.hosts(), nowNanos);
        long admitted = knownSource.totalAdmitted();
        applyChange(knownSource.apply(relay, summary, nowNanos), nowNanos);
        mSummaries.recordUsage(knownSource.totalAdmitted() - admitted);
        adoptLevel(summary.levelKnown(), summary.level(), nowNanos);
    }

    private void applyChange(double change, long nowNanos) {
        if (change < 0) {
            mHeadroom.record(ownHeadroom(nowNanos));
        }
        mLevel = Math.min(mBurst, mLevel + change);
        mSources.countHosts();
    }

    private void adoptLevel(boolean known, long level, long nowNanos) {
        if (known && !mLevelKnown && mHostsKnown) {
            setLevel(level - mAdmitted);
        }
        updateLevelKnown(nowNanos);
    }

    /** Summarizes this host and the given sources for hosts that do not get their reports. */
    public BucketSummary summarize(Predicate<String> includes, long nowNanos) {
        refill(nowNanos);
        long admitted = mAdmitted + mSources.removedUsage(includes);
        double demand = mShares.ownDemand(nowNanos);
        int hosts = 1;
        double silentDemand = 0;
        for (Map.Entry<String, UsageSource> entry : mSources.byName().entrySet()) {
            if (includes.test(entry.getKey())) {
                UsageSource source = entry.getValue();
                admitted += source.totalAdmitted();
                demand += mShares.demand(source, nowNanos);
                hosts += source.hosts();
                silentDemand += mShares.silentDemand(source, nowNanos);
            }
        }
        return new BucketSummary(
                admitted, (long) demand, (long) mLevel, hosts, (long) silentDemand, mLevelKnown);
    }

    /** Returns whether a relay should send a new summary. */
    public boolean isSummaryDue(long nowNanos) {
        boolean idle = mShares.isIdle(knownDemand(nowNanos), 1);
        return mSummaries.isDue(
                mAdmitted, idle ? IDLE_INTERVAL_NANOS : BUSY_INTERVAL_NANOS, nowNanos);
    }

    /** Returns whether a relay should send a new summary before the report interval ends. */
    public boolean isSummaryUrgent() {
        return mBurst > 0 && mSummaries.usedSinceSent() / mBurst > URGENT_BURST_FRACTION;
    }

    /** Records that the summaries were sent. */
    public void recordSummarySent(long nowNanos) {
        mSummaries.recordSent(mAdmitted, nowNanos);
    }

    /** Returns the level according to this host. */
    public double level(long nowNanos) {
        refill(nowNanos);
        return mLevel;
    }

    /** Returns whether the level counts all usage of the last seconds. */
    public boolean isLevelKnown() {
        return mLevelKnown;
    }

    /** Returns the known tokens per second that callers request from all hosts. */
    public double knownDemand(long nowNanos) {
        return mShares.knownDemand(nowNanos);
    }

    /** Returns the part of the demand that belongs to hosts that currently don't report. */
    public double silentDemand(long nowNanos) {
        return mShares.silentDemand(nowNanos);
    }

    /**
     * Returns the tokens admitted by this host, and by current sources since their first reports.
     */
    public long totalAdmitted() {
        return mAdmitted + mSources.all().stream().mapToLong(UsageSource::totalAdmitted).sum();
    }

    private void refill(long nowNanos) {
        double elapsed = nowNanos - mUpdatedAt;
        mUpdatedAt = nowNanos;
        if (elapsed <= 0) {
            return;
        }
        double gained = elapsed * mRatePerNano;
        double total = mShares.totalDemand(nowNanos);
        double assumed = 0;
        for (UsageSource source : mSources.all()) {
            double share = gained * mShares.weight(source, nowNanos) / total;
            double silent = gained * Math.min(1, source.silentDemand() / total);
            if (mShares.isSilent(source, nowNanos)) {
                source.assumeSilentUsage(share, nowNanos);
                assumed += share;
            } else {
                double expected = (source.demand() - source.silentDemand()) * elapsed / 1e9;
                double used = Math.max(0, Math.min(expected, share - silent));
                source.assumeUsage(used);
                source.assumeSilentUsage(silent, nowNanos);
                assumed += used + silent;
            }
        }
        refillOwnPart(gained, nowNanos);
        mTakenSinceReport =
                Math.max(0, mTakenSinceReport - (gained - assumed) * mShares.silentPart(nowNanos));
        mLevel = Math.min(mBurst, mLevel + gained - assumed);
    }

    private void refillOwnPart(double gained, long nowNanos) {
        int hosts = mSources.hostCount();
        if (mLevelKnown) {
            mOwnPart.add(gained * mShares.share(nowNanos), mBurst / hosts);
        } else if (mHostsKnown) {
            mOwnPart.add(gained / hosts);
        }
    }
}
