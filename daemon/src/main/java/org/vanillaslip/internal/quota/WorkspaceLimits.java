package org.vanillaslip.internal.quota;

import static org.vanillaslip.internal.logging.LogField.field;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.peer.RelayNetwork;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.ServingPlan;
import org.vanillaslip.internal.serving.WorkspacePolicy;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.UsageReport;
import org.vanillaslip.messages.WorkspaceSummary;
import org.vanillaslip.messages.WorkspaceUsage;
import reactor.core.publisher.Mono;

/**
 * Charges calls to the rate and burst of their workspace. Each host keeps a replica of the bucket
 * and reports its usage to the relays of its failure domain, which send summaries to all others.
 */
public final class WorkspaceLimits {

    /** Between two reports the hosts together may overdraw a bucket. */
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);

    /** Source of the usage of all other hosts, as summarized by the relays for an ordinary host. */
    private static final String OTHER_HOSTS = "other-hosts";

    private static final String DOMAIN_PREFIX = "domain:";

    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(200);

    private final double mOverdraft;
    private final DecisionLoop mLoop;
    private final PeerLinks mLinks;
    private final RelayNetwork mNetwork;
    private final RandomGenerator mRandom;
    private final EventLog mLog;
    private final Map<String, ReplicatedBucket> mBuckets = new HashMap<>();
    private boolean mUrgentReportScheduled;
    private boolean mUrgentSummaryScheduled;
    private final Map<String, String> mIncarnations = new HashMap<>();
    private final Set<String> mKnownLevels = new HashSet<>();
    private Set<String> mPeers = Set.of();
    private boolean mReportsToAll;
    private boolean mKnewLevels;
    private boolean mIsRelay;

    /**
     * Creates the limits, without any workspace.
     *
     * @param overdraft units that a workspace may use beyond its burst, because reports arrive late
     * @param network the relays through which hosts exchange their usage
     */
    public WorkspaceLimits(
            double overdraft,
            DecisionLoop loop,
            PeerLinks links,
            RelayNetwork network,
            RandomGenerator random,
            EventLog log) {
        mOverdraft = overdraft;
        mLoop = loop;
        mLinks = links;
        mNetwork = network;
        mRandom = random;
        mLog = log;
    }

    /** Starts exchanging reports with other hosts. */
    public void start() {
        mLinks.handle(Envelope.BodyCase.USAGE_REPORT, this::handleReport);
        mLinks.handle(Envelope.BodyCase.USAGE_SUMMARY, this::handleSummary);
        long period = REPORT_INTERVAL.toNanos();
        mLoop.scheduler().schedulePeriodically(this::tick, period, period, TimeUnit.NANOSECONDS);
    }

    /** Applies the rates and bursts of the plan, and drops workspaces that are no longer in it. */
    public void apply(ServingPlan plan) {
        long now = mLoop.clock().nowNanos();
        for (WorkspacePolicy policy : plan.workspaces()) {
            if (policy.limited()) {
                bucket(policy, now);
            }
        }
        List<String> names =
                plan.workspaces().stream().map(policy -> policy.workspace().name()).toList();
        mBuckets.keySet().retainAll(names);
    }

    /**
     * Returns whether the levels of all buckets were known at any time since the start. Before
     * that, this host refuses calls that others admit.
     */
    public boolean knewLevels() {
        mKnewLevels |= mBuckets.values().stream().allMatch(ReplicatedBucket::isLevelKnown);
        return mKnewLevels;
    }

    /** Charges the units, or returns a refusal with a retry delay. */
    public Either<Refusal, WorkspaceCharge> charge(WorkspacePolicy policy, long units) {
        if (!policy.limited()) {
            return Either.right(new WorkspaceCharge(() -> {}));
        }
        long now = mLoop.clock().nowNanos();
        ReplicatedBucket bucket = bucket(policy, now);
        Optional<AdmittedCharge> admitted = bucket.tryAcquire(units, now);
        if (admitted.isPresent()) {
            if (bucket.isReportUrgent()) {
                scheduleReport();
            }
            return Either.right(
                    new WorkspaceCharge(
                            () -> bucket.refund(admitted.get(), mLoop.clock().nowNanos())));
        }
        Duration expectedWait = bucket.recordRefusal(units, now);
        long jitterNanos = mRandom.nextLong(MIN_RETRY_DELAY.toNanos());
        Duration retryDelay = expectedWait.plus(MIN_RETRY_DELAY).plusNanos(jitterNanos);
        mLog.log(
                QuotaEvent.CHARGE_REFUSED,
                field("workspace", policy.workspace().name()),
                field("tokens", units),
                field("level", (long) bucket.level(now)),
                field("rate", (long) policy.ratePerSecond()),
                field("burst", (long) policy.burst()),
                field("demand", (long) bucket.knownDemand(now)),
                field("level_known", bucket.isLevelKnown()),
                field("unheard", (long) bucket.silentDemand(now)),
                field("admitted", bucket.totalAdmitted()),
                field("retry_after", retryDelay));
        return Either.left(
                Refusal.retryable(ResultCode.RATE_EXCEEDED, units + " units", retryDelay));
    }

    private ReplicatedBucket bucket(WorkspacePolicy policy, long nowNanos) {
        ReplicatedBucket bucket =
                mBuckets.computeIfAbsent(
                        policy.workspace().name(), name -> createBucket(policy, nowNanos));
        bucket.resize(policy.ratePerSecond(), policy.burst(), nowNanos);
        return bucket;
    }

    private ReplicatedBucket createBucket(WorkspacePolicy policy, long nowNanos) {
        ReplicatedBucket bucket = new ReplicatedBucket(mOverdraft, nowNanos);
        bucket.resize(policy.ratePerSecond(), policy.burst(), nowNanos);
        if (mNetwork.knowsHosts()) {
            bucket.updateSources(hostCountBySource(), nowNanos);
        }
        mReportsToAll = true;
        scheduleReport();
        return bucket;
    }

    private void scheduleReport() {
        if (!mUrgentReportScheduled) {
            mUrgentReportScheduled = true;
            mLoop.scheduler()
                    .schedule(
                            this::sendReport, REPORT_INTERVAL.toNanos() / 4, TimeUnit.NANOSECONDS);
        }
    }

    private void tick() {
        long now = mLoop.clock().nowNanos();
        updateRole(now);
        if (mNetwork.knowsHosts()) {
            Map<String, Integer> sources = hostCountBySource();
            mBuckets.values().forEach(bucket -> bucket.updateSources(sources, now));
        }
        logKnownLevels(now);
        updatePeers();
        sendReport();
        sendSummaries();
        mReportsToAll = false;
    }

    private void logKnownLevels(long nowNanos) {
        mKnownLevels.retainAll(mBuckets.keySet());
        mBuckets.forEach(
                (name, bucket) -> {
                    if (bucket.isLevelKnown() && mKnownLevels.add(name)) {
                        mLog.log(
                                QuotaEvent.LEVEL_KNOWN,
                                field("workspace", name),
                                field("level", (long) bucket.level(nowNanos)),
                                field("admitted", bucket.totalAdmitted()));
                    }
                });
    }

    private void updateRole(long nowNanos) {
        if (mIsRelay != mNetwork.isRelay()) {
            mIsRelay = mNetwork.isRelay();
            mBuckets.values().forEach(bucket -> bucket.removeAllSources(nowNanos));
        }
    }

    /** Reports all usage when a peer is new, which needs it to know the level. */
    private void updatePeers() {
        Set<String> peers = new HashSet<>(mNetwork.ownRelays());
        peers.addAll(mNetwork.farRelays());
        peers.addAll(mNetwork.members());
        mReportsToAll |= !mPeers.containsAll(peers);
        mPeers = peers;
        mIncarnations.keySet().retainAll(peers);
    }

    private void recordSender(Envelope message) {
        String incarnation = message.getSenderIncarnation();
        if (!incarnation.equals(mIncarnations.put(message.getSender(), incarnation))) {
            mReportsToAll = true;
            scheduleReport();
            scheduleSummaries();
        }
    }

    /** Returns the sources of usage reports that this host receives, with their host counts. */
    private Map<String, Integer> hostCountBySource() {
        Map<String, Integer> sources = new HashMap<>();
        mNetwork.hostCountByDomain()
                .forEach(
                        (domain, hosts) -> {
                            if (mIsRelay && !mNetwork.isOwnDomain(domain)) {
                                sources.put(DOMAIN_PREFIX + domain.name(), hosts.intValue());
                            } else if (!mIsRelay) {
                                sources.merge(OTHER_HOSTS, hosts.intValue(), Integer::sum);
                            }
                        });
        if (mIsRelay) {
            mNetwork.otherHostsInOwnDomain().forEach(host -> sources.put(host, 1));
        } else {
            sources.computeIfPresent(OTHER_HOSTS, (name, hosts) -> hosts > 1 ? hosts - 1 : null);
        }
        return sources;
    }

    private void sendReport() {
        mUrgentReportScheduled = false;
        long now = mLoop.clock().nowNanos();
        UsageReport.Builder report = UsageReport.newBuilder();
        mBuckets.forEach(
                (name, bucket) -> {
                    if (mReportsToAll || bucket.isReportDue(now)) {
                        report.addWorkspaces(UsageMessages.usage(name, bucket.report(now)));
                    }
                });
        if (report.getWorkspacesCount() > 0) {
            Envelope.Builder message = Envelope.newBuilder().setUsageReport(report);
            mNetwork.ownRelays().forEach(relay -> mLinks.send(relay, message));
        }
    }

    /**
     * Sends each member of this relay the usage of all others, and other domains that of this one.
     */
    private void sendSummaries() {
        mUrgentSummaryScheduled = false;
        long now = mLoop.clock().nowNanos();
        if (!mIsRelay) {
            return;
        }
        Map<String, ReplicatedBucket> due = new HashMap<>();
        mBuckets.forEach(
                (name, bucket) -> {
                    if (mReportsToAll || bucket.isSummaryDue(now)) {
                        due.put(name, bucket);
                        bucket.recordSummarySent(now);
                    }
                });
        if (due.isEmpty()) {
            return;
        }
        for (String member : mNetwork.members()) {
            mLinks.send(member, UsageMessages.summary(due, source -> !source.equals(member), now));
        }
        Envelope.Builder domainSummary =
                UsageMessages.summary(due, source -> !source.startsWith(DOMAIN_PREFIX), now);
        mNetwork.farRelays().forEach(relay -> mLinks.send(relay, domainSummary));
    }

    private Mono<Envelope.Builder> handleReport(Envelope message) {
        if (!mIsRelay) {
            // The sender wrongly considers this host a relay; its actual relays count its usage.
            return Mono.empty();
        }
        recordSender(message);
        long now = mLoop.clock().nowNanos();
        for (WorkspaceUsage usage : message.getUsageReport().getWorkspacesList()) {
            ReplicatedBucket bucket = mBuckets.get(usage.getWorkspace());
            if (bucket != null) {
                bucket.apply(
                        message.getSender(),
                        message.getSenderIncarnation(),
                        UsageMessages.parse(usage),
                        now);
                if (bucket.isSummaryUrgent()) {
                    scheduleSummaries();
                }
            }
        }
        return Mono.empty();
    }

    private void scheduleSummaries() {
        if (!mUrgentSummaryScheduled) {
            mUrgentSummaryScheduled = true;
            mLoop.scheduler()
                    .schedule(
                            this::sendSummaries,
                            REPORT_INTERVAL.toNanos() / 4,
                            TimeUnit.NANOSECONDS);
        }
    }

    private Mono<Envelope.Builder> handleSummary(Envelope message) {
        boolean fromOwnDomain = mNetwork.isInOwnDomain(message.getSender());
        if (fromOwnDomain == mIsRelay) {
            // The sender and this host disagree on which hosts are relays.
            return Mono.empty();
        }
        String source =
                fromOwnDomain
                        ? OTHER_HOSTS
                        : DOMAIN_PREFIX
                                + mNetwork.domainOf(message.getSender())
                                        .map(FailureDomain::name)
                                        .orElse("");
        String relay = message.getSender() + '/' + message.getSenderIncarnation();
        recordSender(message);
        long now = mLoop.clock().nowNanos();
        for (WorkspaceSummary summary : message.getUsageSummary().getWorkspacesList()) {
            ReplicatedBucket bucket = mBuckets.get(summary.getWorkspace());
            if (bucket != null) {
                bucket.apply(source, relay, UsageMessages.parse(summary), now);
                if (bucket.isSummaryUrgent()) {
                    scheduleSummaries();
                }
            }
        }
        return Mono.empty();
    }
}
