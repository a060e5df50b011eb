package org.vanillaslip.internal.quota;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
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
import org.vanillaslip.messages.UsageSummary;
import org.vanillaslip.messages.WorkspaceSummary;
import org.vanillaslip.messages.WorkspaceUsage;
import reactor.core.publisher.Mono;

/**
 * Charges calls to the rate and burst of their workspace, replicated over all hosts. Each host
 * reports its use to the relays of its failure domain, which sum it up for all others.
 */
public final class WorkspaceLimits {

    /** Between two reports the hosts may overdraw a bucket together. */
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);

    /** What a host that is no relay learns from its relays about all other hosts. */
    private static final String OTHER_HOSTS = "other-hosts";

    private static final String DOMAIN_PREFIX = "domain:";

    private static final Duration LEAST_RETRY = Duration.ofMillis(200);

    private final double mOverdraft;
    private final DecisionLoop mLoop;
    private final PeerLinks mLinks;
    private final RelayNetwork mNetwork;
    private final RandomGenerator mRandom;
    private final EventLog mLog;
    private final Map<String, ReplicatedBucket> mBuckets = new HashMap<>();
    private boolean mUrgent;
    private boolean mSumUrgent;
    private boolean mRelay;

    /**
     * Creates limits without any workspace.
     *
     * @param overdraft units that a workspace may use beyond its burst, because reports lag
     * @param network the relays over which hosts learn of each other's use
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

    /** Exchanges reports with other hosts from now on. */
    public void start() {
        mLinks.handle(Envelope.BodyCase.USAGE_REPORT, this::reported);
        mLinks.handle(Envelope.BodyCase.USAGE_SUMMARY, this::summed);
        long period = REPORT_INTERVAL.toNanos();
        mLoop.scheduler().schedulePeriodically(this::tick, period, period, TimeUnit.NANOSECONDS);
    }

    /** Takes over rates and bursts. */
    public void apply(ServingPlan plan) {
        long now = mLoop.clock().nowNanos();
        for (WorkspacePolicy terms : plan.workspaces()) {
            if (terms.limited()) {
                bucket(terms, now);
            }
        }
        List<String> names =
                plan.workspaces().stream().map(terms -> terms.workspace().name()).toList();
        mBuckets.keySet().retainAll(names);
    }

    /** Charges the units, or returns the refusal with the time after which to try again. */
    public Optional<Refusal> charge(WorkspacePolicy terms, long units) {
        if (!terms.limited()) {
            return Optional.empty();
        }
        long now = mLoop.clock().nowNanos();
        ReplicatedBucket bucket = bucket(terms, now);
        if (bucket.tryAcquire(units, now)) {
            reportSoon(bucket);
            return Optional.empty();
        }
        Duration wait = bucket.recordRefusal(units, now);
        long spread = mRandom.nextLong(LEAST_RETRY.toNanos());
        Duration retry = wait.plus(LEAST_RETRY).plusNanos(spread);
        mLog.log(
                QuotaEvent.CHARGE_REFUSED,
                field("workspace", terms.workspace().name()),
                field("tokens", units),
                field("level", (long) bucket.level(now)),
                field("rate", (long) terms.ratePerSecond()),
                field("burst", (long) terms.burst()),
                field("demand", (long) bucket.knownDemand(now)),
                field("unheard", (long) bucket.silentDemand(now)),
                field("admitted", bucket.totalAdmitted()),
                field("retry_after", retry));
        return Optional.of(Refusal.retryable(ResultCode.RATE_EXCEEDED, units + " units", retry));
    }

    /** Gives back the units of a call that no server has run. */
    public void refund(WorkspacePolicy terms, long units) {
        if (terms.limited()) {
            long now = mLoop.clock().nowNanos();
            bucket(terms, now).refund(units, now);
        }
    }

    private ReplicatedBucket bucket(WorkspacePolicy terms, long nowNanos) {
        ReplicatedBucket bucket =
                mBuckets.computeIfAbsent(
                        terms.workspace().name(),
                        name -> new ReplicatedBucket(mOverdraft, nowNanos));
        bucket.resize(terms.ratePerSecond(), terms.burst(), nowNanos);
        return bucket;
    }

    private void reportSoon(ReplicatedBucket bucket) {
        if (!mUrgent && bucket.isReportUrgent()) {
            mUrgent = true;
            mLoop.scheduler()
                    .schedule(this::report, REPORT_INTERVAL.toNanos() / 4, TimeUnit.NANOSECONDS);
        }
    }

    private void tick() {
        long now = mLoop.clock().nowNanos();
        if (mRelay != mNetwork.relay()) {
            mRelay = mNetwork.relay();
            mBuckets.values().forEach(bucket -> bucket.removeAllSources(now));
        }
        Map<String, Integer> sources = sources();
        mBuckets.values().forEach(bucket -> bucket.updateSources(sources, now));
        report();
        sendSums();
    }

    /** Names the sources from which this host learns of the others, with their hosts. */
    private Map<String, Integer> sources() {
        Map<String, Integer> sources = new HashMap<>();
        mNetwork.hostsByDomain()
                .forEach(
                        (domain, hosts) -> {
                            if (mRelay && !mNetwork.isOwnDomain(domain)) {
                                sources.put(DOMAIN_PREFIX + domain.name(), hosts.intValue());
                            } else if (!mRelay) {
                                sources.merge(OTHER_HOSTS, hosts.intValue(), Integer::sum);
                            }
                        });
        if (mRelay) {
            mNetwork.nearHosts().forEach(host -> sources.put(host, 1));
        } else {
            sources.computeIfPresent(OTHER_HOSTS, (name, hosts) -> hosts > 1 ? hosts - 1 : null);
        }
        return sources;
    }

    private void report() {
        mUrgent = false;
        long now = mLoop.clock().nowNanos();
        UsageReport.Builder report = UsageReport.newBuilder();
        mBuckets.forEach(
                (name, bucket) -> {
                    if (bucket.isReportDue(now)) {
                        report.addWorkspaces(usage(name, bucket.report(now)));
                    }
                });
        if (report.getWorkspacesCount() > 0) {
            Envelope.Builder message = Envelope.newBuilder().setUsageReport(report);
            mNetwork.ownRelays().forEach(relay -> mLinks.send(relay, message));
        }
    }

    /** Tells the members of this relay about all others, and the other domains about this one. */
    private void sendSums() {
        mSumUrgent = false;
        long now = mLoop.clock().nowNanos();
        if (!mRelay) {
            return;
        }
        Map<String, ReplicatedBucket> due = new HashMap<>();
        mBuckets.forEach(
                (name, bucket) -> {
                    if (bucket.isSummaryDue(now)) {
                        due.put(name, bucket);
                        bucket.recordSummarySent(now);
                    }
                });
        if (due.isEmpty()) {
            return;
        }
        for (String member : mNetwork.members()) {
            mLinks.send(member, summary(due, source -> !source.equals(member), now));
        }
        Envelope.Builder near = summary(due, source -> !source.startsWith(DOMAIN_PREFIX), now);
        mNetwork.farRelays().forEach(relay -> mLinks.send(relay, near));
    }

    private static Envelope.Builder summary(
            Map<String, ReplicatedBucket> buckets, Predicate<String> includes, long nowNanos) {
        UsageSummary.Builder summary = UsageSummary.newBuilder();
        buckets.forEach(
                (name, bucket) -> {
                    BucketSummary sum = bucket.summarize(includes, nowNanos);
                    summary.addWorkspaces(
                            WorkspaceSummary.newBuilder()
                                    .setWorkspace(name)
                                    .setAdmittedTokens(sum.admitted())
                                    .setDemandTokensPerSecond(sum.demandPerSecond())
                                    .setLevelTokens(sum.level())
                                    .setHosts(sum.hosts())
                                    .setUnheardTokensPerSecond(sum.silentDemandPerSecond()));
                });
        return Envelope.newBuilder().setUsageSummary(summary);
    }

    private static WorkspaceUsage usage(String name, BucketUsage use) {
        return WorkspaceUsage.newBuilder()
                .setWorkspace(name)
                .setAdmittedTokens(use.admitted())
                .setDemandTokensPerSecond(use.demandPerSecond())
                .setLevelTokens(use.level())
                .build();
    }

    private Mono<Envelope.Builder> reported(Envelope message) {
        if (!mRelay) {
            // The sender takes this host for a relay; its own relays count what it uses.
            return Mono.empty();
        }
        long now = mLoop.clock().nowNanos();
        for (WorkspaceUsage usage : message.getUsageReport().getWorkspacesList()) {
            ReplicatedBucket bucket = mBuckets.get(usage.getWorkspace());
            if (bucket != null) {
                bucket.apply(
                        message.getSender(),
                        message.getSenderIncarnation(),
                        new BucketUsage(
                                usage.getAdmittedTokens(),
                                usage.getDemandTokensPerSecond(),
                                usage.getLevelTokens()),
                        now);
                sumSoon(bucket);
            }
        }
        return Mono.empty();
    }

    private void sumSoon(ReplicatedBucket bucket) {
        if (!mSumUrgent && bucket.isSummaryUrgent()) {
            mSumUrgent = true;
            mLoop.scheduler()
                    .schedule(this::sendSums, REPORT_INTERVAL.toNanos() / 4, TimeUnit.NANOSECONDS);
        }
    }

    private Mono<Envelope.Builder> summed(Envelope message) {
        boolean near = mNetwork.isNear(message.getSender());
        if (near == mRelay) {
            // The sender and this host differ about who is a relay.
            return Mono.empty();
        }
        String source =
                near
                        ? OTHER_HOSTS
                        : DOMAIN_PREFIX
                                + mNetwork.domainOf(message.getSender())
                                        .map(FailureDomain::name)
                                        .orElse("");
        String relay = message.getSender() + '/' + message.getSenderIncarnation();
        long now = mLoop.clock().nowNanos();
        for (WorkspaceSummary summary : message.getUsageSummary().getWorkspacesList()) {
            ReplicatedBucket bucket = mBuckets.get(summary.getWorkspace());
            if (bucket != null) {
                bucket.apply(source, relay, sum(summary), now);
                sumSoon(bucket);
            }
        }
        return Mono.empty();
    }

    private static BucketSummary sum(WorkspaceSummary summary) {
        return new BucketSummary(
                summary.getAdmittedTokens(),
                summary.getDemandTokensPerSecond(),
                summary.getLevelTokens(),
                summary.getHosts(),
                summary.getUnheardTokensPerSecond());
    }
}
