package org.vanillaslip.internal.quota;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Rate and burst of one workspace, replicated on every host. Each host takes tokens from its own
 * replica at once and learns what the others took from reports. A report comes from one host or
 * from a relay that sums up several; each is a source. Between two reports a host takes at most its
 * share of what is left, by recent demand, or a few calls while much more is left than all hosts
 * use between reports; the overdraft of one report interval is paid back before anything else is
 * admitted.
 */
public final class ReplicatedBucket {

    /** A host that has not reported for this long is assumed to use its share. */
    private static final long HEARD_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * A host without calls says so and then reports this rarely; what it takes it tells at once.
     */
    private static final long IDLE_REPORT_NANOS = Duration.ofSeconds(5).toNanos();

    /** A host with calls reports at least this often, so that it does not count as silent. */
    private static final long BUSY_REPORT_NANOS = Duration.ofMillis(600).toNanos();

    /** A host that has said it is idle is believed for one report more than it sends. */
    private static final long IDLE_HEARD_NANOS = IDLE_REPORT_NANOS + HEARD_NANOS;

    /** A host that has not reported for this long has been stopped. */
    private static final long FORGET_NANOS = Duration.ofSeconds(30).toNanos();

    /** Callers do not wait longer, whatever they are told. */
    private static final double LONGEST_RETRY_NANOS = 10e9;

    /** Demand is averaged over this time. */
    private static final double DEMAND_NANOS = 2e9;

    /** Part of the rate that idle hosts count as asking for, so that each has a share. */
    private static final double IDLE_DEMAND = 0.1;

    /**
     * While more is left than callers ask of all hosts in this time, a host may take a few calls
     * beyond its share. What others took is known after three report intervals of 200 ms: of the
     * host, of its relay, and of the relay of the receiver.
     */
    private static final double AMPLE_SECONDS = 0.6;

    /** Part of the burst after which a host reports without waiting for its next turn. */
    private static final double URGENT_PART = 0.05;

    private final Map<String, UsageSource> mSources = new HashMap<>();

    /** What forgotten sources had used, so that the sums for other hosts never go back. */
    private final Map<String, Long> mForgotten = new HashMap<>();

    private final double mOverdraft;
    private double mRatePerNano;
    private double mBurst;
    private double mLevel;
    private long mUpdatedAt;
    private boolean mFresh = true;
    private int mHosts = 1;
    private long mAdmitted;
    private double mDemand;
    private long mDemandAt;
    private double mTakenSinceReport;
    private double mRefused;
    private long mRefusedAt;
    private long mReportedAt;
    private boolean mReportedIdle;
    private long mSummedAt;
    private double mUsedSinceSum;
    private boolean mChangedSinceSum;
    private long mAdmittedAtSum;

    /**
     * Creates an empty bucket: what an earlier incarnation of this host took is unknown.
     *
     * @param overdraft tokens that may be taken beyond the burst, because reports lag
     */
    public ReplicatedBucket(double overdraft, long nowNanos) {
        mOverdraft = overdraft;
        mUpdatedAt = nowNanos;
        mDemandAt = nowNanos;
        mReportedAt = nowNanos - IDLE_REPORT_NANOS;
    }

    /** Sets rate and burst; tokens above the new burst are lost. */
    public void resize(double ratePerSecond, double burst, long nowNanos) {
        refill(nowNanos);
        mRatePerNano = ratePerSecond / 1e9;
        mBurst = burst;
        mLevel = Math.min(mLevel, burst);
    }

    /** Names the other hosts, so that those that were never heard from have a share, too. */
    public void updateSources(Collection<String> hosts, long nowNanos) {
        updateSources(hosts.stream().collect(Collectors.toMap(host -> host, host -> 1)), nowNanos);
    }

    /** Names all sources with their numbers of hosts. */
    public void updateSources(Map<String, Integer> sources, long nowNanos) {
        refill(nowNanos);
        sources.forEach(
                (source, hosts) ->
                        mSources.computeIfAbsent(source, name -> new UsageSource(hosts, nowNanos))
                                .expect(hosts));
        forget(source -> nowNanos - source.heardAt() > FORGET_NANOS);
        mSources.values().forEach(source -> source.forgetRelaysBefore(nowNanos - FORGET_NANOS));
        countHosts();
    }

    /** Forgets all sources, because this host learns of the others in another way from now on. */
    public void removeAllSources(long nowNanos) {
        refill(nowNanos);
        forget(source -> true);
        countHosts();
    }

    private void forget(Predicate<UsageSource> condition) {
        mSources.entrySet()
                .removeIf(
                        entry -> {
                            boolean forgotten = condition.test(entry.getValue());
                            if (forgotten) {
                                mForgotten.merge(
                                        entry.getKey(), entry.getValue().counted(), Long::sum);
                            }
                            return forgotten;
                        });
    }

    private void countHosts() {
        mHosts = 1;
        for (UsageSource source : mSources.values()) {
            mHosts += source.hosts();
        }
    }

    /** Takes the tokens if the workspace has any left for this host. */
    public boolean tryAcquire(long tokens, long nowNanos) {
        refill(nowNanos);
        mDemand = demand(nowNanos) + tokens;
        mDemandAt = nowNanos;
        double left = mLevel + mOverdraft;
        double mine = share(nowNanos) * (left + mTakenSinceReport);
        if (left <= 0 || (mTakenSinceReport >= mine && !ample(tokens, nowNanos))) {
            return false;
        }
        mLevel -= tokens;
        mTakenSinceReport += tokens;
        mAdmitted += tokens;
        return true;
    }

    /**
     * A host that gets few of the calls has a share of less than one call. Together the hosts take
     * what callers ask for, which the level covers until the next reports.
     */
    private boolean ample(long tokens, long nowNanos) {
        double ample = AMPLE_SECONDS * knownDemand(nowNanos);
        return mTakenSinceReport + tokens <= mOverdraft && mLevel - tokens >= ample;
    }

    /** Returns tokens of a call that did not run. */
    public void refund(long tokens, long nowNanos) {
        refill(nowNanos);
        mLevel = Math.min(mBurst, mLevel + tokens);
        mTakenSinceReport = Math.max(0, mTakenSinceReport - tokens);
        mAdmitted -= tokens;
    }

    /**
     * Notes a refused call and returns when there will be room for it, behind the calls that were
     * refused before it and are expected to come back.
     */
    public Duration recordRefusal(long tokens, long nowNanos) {
        refill(nowNanos);
        double ownRate = Math.max(1e-12, mRatePerNano * share(nowNanos));
        mRefused = Math.max(0, mRefused - (nowNanos - mRefusedAt) * ownRate);
        mRefusedAt = nowNanos;
        double missing = Math.max(0, -mLevel - mOverdraft) + tokens;
        double wait = missing / Math.max(1e-12, mRatePerNano) + mRefused / ownRate;
        mRefused += tokens;
        return Duration.ofNanos((long) Math.min(wait, LONGEST_RETRY_NANOS));
    }

    /** Returns whether the other hosts should hear from this one in their next turn. */
    public boolean isReportDue(long nowNanos) {
        boolean unreported = mBurst > 0 && mTakenSinceReport > 0;
        boolean idle = mReportedIdle && isIdle(demandPerSecond(nowNanos), 1);
        long age = nowNanos - mReportedAt;
        return unreported || age >= (idle ? IDLE_REPORT_NANOS : BUSY_REPORT_NANOS);
    }

    /** Returns whether the other hosts need the next report early, to stay within the burst. */
    public boolean isReportUrgent() {
        return mBurst > 0 && mTakenSinceReport / mBurst > URGENT_PART;
    }

    /** Returns what the other hosts need to know, and begins a new report interval. */
    public BucketUsage report(long nowNanos) {
        refill(nowNanos);
        mTakenSinceReport = 0;
        mReportedAt = nowNanos;
        mReportedIdle = isIdle(demandPerSecond(nowNanos), 1);
        return new BucketUsage(mAdmitted, demandPerSecond(nowNanos), (long) mLevel);
    }

    /** Takes over the report of another host. */
    public void apply(String host, String incarnation, BucketUsage use, long nowNanos) {
        refill(nowNanos);
        UsageSource source = source(host, 1, nowNanos);
        taken(source.apply(incarnation, use, nowNanos), use.level());
    }

    /**
     * Takes over the report of a relay.
     *
     * @param source what the relay sums up; several relays may report the same source
     * @param relay name and incarnation of the relay
     */
    public void apply(String source, String relay, BucketSummary sum, long nowNanos) {
        refill(nowNanos);
        UsageSource known = source(source, sum.hosts(), nowNanos);
        taken(known.apply(relay, sum, nowNanos), sum.level());
    }

    private UsageSource source(String name, int hosts, long nowNanos) {
        return mSources.computeIfAbsent(name, added -> new UsageSource(hosts, nowNanos));
    }

    private void taken(double change, long reportedLevel) {
        if (mFresh) {
            mLevel = reportedLevel;
            mFresh = false;
        } else {
            mLevel += change;
        }
        mLevel = Math.min(mBurst, mLevel);
        mChangedSinceSum |= change != 0;
        mUsedSinceSum += Math.max(0, -change);
        countHosts();
    }

    /**
     * Returns what the named sources and this host have admitted, for hosts that do not hear them.
     */
    public BucketSummary summarize(Predicate<String> includes, long nowNanos) {
        refill(nowNanos);
        long admitted = mAdmitted;
        for (Map.Entry<String, Long> entry : mForgotten.entrySet()) {
            if (includes.test(entry.getKey())) {
                admitted += entry.getValue();
            }
        }
        double demand = demandPerSecond(nowNanos);
        int hosts = 1;
        double unheard = 0;
        for (Map.Entry<String, UsageSource> entry : mSources.entrySet()) {
            if (includes.test(entry.getKey())) {
                UsageSource source = entry.getValue();
                admitted += source.counted();
                demand += source.demand();
                hosts += source.hosts();
                unheard += isHeard(source, nowNanos) ? source.unheard() : weight(source);
            }
        }
        return new BucketSummary(admitted, (long) demand, (long) mLevel, hosts, (long) unheard);
    }

    /** Returns whether the hosts behind a relay should hear a new sum. */
    public boolean isSummaryDue(long nowNanos) {
        boolean idle = isIdle(knownDemand(nowNanos), 1);
        long age = nowNanos - mSummedAt;
        return mChangedSinceSum
                || takenSinceSum() > 0
                || age >= (idle ? IDLE_REPORT_NANOS : BUSY_REPORT_NANOS);
    }

    /** Returns whether a new sum should not wait for its turn. */
    public boolean isSummaryUrgent() {
        return mBurst > 0 && mUsedSinceSum / mBurst > URGENT_PART;
    }

    /** Notes that the sums were sent. */
    public void recordSummarySent(long nowNanos) {
        mSummedAt = nowNanos;
        mUsedSinceSum = 0;
        mChangedSinceSum = false;
        mAdmittedAtSum = mAdmitted;
    }

    private long takenSinceSum() {
        return mAdmitted - mAdmittedAtSum;
    }

    /** Returns the level as this host knows it. */
    public double level(long nowNanos) {
        refill(nowNanos);
        return mLevel;
    }

    /** Returns the tokens per second that callers ask of all hosts, as this host knows it. */
    public double knownDemand(long nowNanos) {
        double demand = demandPerSecond(nowNanos);
        for (UsageSource source : mSources.values()) {
            demand += source.demand();
        }
        return demand;
    }

    /** Returns the part of the demand that belongs to hosts that this host does not hear of. */
    public double silentDemand(long nowNanos) {
        double unheard = 0;
        for (UsageSource source : mSources.values()) {
            unheard += isHeard(source, nowNanos) ? source.unheard() : weight(source);
        }
        return unheard;
    }

    /** Returns the tokens that this host and all others have admitted since it knows of them. */
    public long totalAdmitted() {
        return mAdmitted + mSources.values().stream().mapToLong(UsageSource::counted).sum();
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
            if (!isHeard(source, nowNanos)) {
                double used = gained * weight(source) / total;
                source.assume(used);
                mLevel -= used;
            } else if (source.unheard() > 0) {
                double used = gained * source.unheard() / total;
                source.assumeUnheard(used);
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

    /** Demand per second that each host counts as asking for. */
    private double idleDemand() {
        return IDLE_DEMAND * mRatePerNano * 1e9 / mHosts;
    }

    private boolean isIdle(double demandPerSecond, int hosts) {
        return demandPerSecond <= idleDemand() * hosts;
    }

    private boolean isHeard(UsageSource source, long nowNanos) {
        boolean idle = isIdle(source.demand(), source.hosts());
        return source.heardWithin(idle ? IDLE_HEARD_NANOS : HEARD_NANOS, nowNanos);
    }

    private long demandPerSecond(long nowNanos) {
        return (long) (demand(nowNanos) * 1e9 / DEMAND_NANOS);
    }

    private double demand(long nowNanos) {
        return mDemand * Math.exp(-(nowNanos - mDemandAt) / DEMAND_NANOS);
    }
}
