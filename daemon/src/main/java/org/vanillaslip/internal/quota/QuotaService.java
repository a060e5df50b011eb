package org.vanillaslip.internal.quota;

import static org.vanillaslip.internal.logging.LogField.field;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.vanillaslip.Plan;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.Workspace;
import org.vanillaslip.internal.control.ConfigurationView;
import org.vanillaslip.internal.gateway.QuotaCharge;
import org.vanillaslip.internal.gateway.WorkspaceQuotas;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Charges requests to the rate and burst of their workspace over all hosts. */
public final class QuotaService implements WorkspaceQuotas {

    /** Charges that were never settled are forgotten; no request runs for this long. */
    private static final long MAX_CHARGE_NANOS = Duration.ofHours(1).toNanos();

    private static final Duration NOT_READY_RETRY = Duration.ofSeconds(1);

    private final String mHost;
    private final DecisionLoop mLoop;
    private final ConfigurationView mConfiguration;
    private final PeerLinks mLinks;
    private final ShareView mShares;
    private final QuotaTimes mTimes;
    private final LongSupplier mGrantIds;
    private final EventLog mLog;
    private final QuotaExchange mExchange;
    private final long mRefillFrom;
    private final Map<String, QuotaLimit> mLimits = new HashMap<>();
    private final IdentityHashMap<QuotaCharge, OpenCharge> mCharges = new IdentityHashMap<>();

    /**
     * Creates a service for a host that has just started.
     *
     * @param grantIds random numbers other than 0, unique over all incarnations of this host
     */
    public QuotaService(
            String host,
            DecisionLoop loop,
            ConfigurationView configuration,
            PeerLinks links,
            ShareView shares,
            QuotaTimes times,
            LongSupplier grantIds,
            EventLog log) {
        mHost = host;
        mLoop = loop;
        mConfiguration = configuration;
        mLinks = links;
        mShares = shares;
        mTimes = times;
        mGrantIds = grantIds;
        mLog = log;
        // An earlier incarnation of this host may have lent tokens that are unknown here.
        mRefillFrom = loop.clock().nowNanos() + times.predecessorGrantLifetimeNanos();
        mExchange = new QuotaExchange(host, loop.clock(), links, log);
    }

    /** Answers other hosts and sends reports from now on. */
    public void start() {
        mLinks.handle(Envelope.BodyCase.QUOTA_REQUEST, this::answer);
        mLoop.scheduler()
                .schedulePeriodically(
                        this::tick, 0, mTimes.reportIntervalNanos(), TimeUnit.NANOSECONDS);
    }

    /** Gives all borrowed tokens back, because this host stops. */
    public void stop() {
        mLoop.scheduler()
                .schedule(
                        () -> {
                            long now = mLoop.clock().nowNanos();
                            mLimits.values().forEach(limit -> limit.account().returnAll(now));
                            mLimits.values().forEach(mExchange::report);
                        });
    }

    /** Returns whether all lent tokens fit into the current share; used on the decision loop. */
    public boolean fitsShare() {
        resizeAll();
        long now = mLoop.clock().nowNanos();
        return mLimits.values().stream().allMatch(limit -> limit.account().fitsCapacity(now));
    }

    @Override
    public Mono<Either<Refusal, QuotaCharge>> charge(
            Workspace workspace, long tokens, Duration wait) {
        return Mono.<Either<Refusal, QuotaCharge>>create(
                sink -> mLoop.scheduler().schedule(() -> admit(workspace, tokens, wait, sink)));
    }

    @Override
    public void settle(QuotaCharge charge, long usedTokens) {
        mLoop.scheduler()
                .schedule(
                        () ->
                                Optional.ofNullable(mCharges.remove(charge))
                                        .ifPresent(open -> open.settle(usedTokens, mLoop.clock())));
    }

    private void admit(
            Workspace workspace,
            long tokens,
            Duration wait,
            MonoSink<Either<Refusal, QuotaCharge>> sink) {
        Optional<QuotaLimit> found = limit(name(workspace));
        if (found.isEmpty()) {
            sink.success(Either.left(notReady(workspace)));
            return;
        }
        QuotaLimit limit = found.get();
        if (tokens > limit.burstTokens()) {
            String detail = tokens + " tokens, burst " + limit.burstTokens();
            sink.success(Either.left(Refusal.of(ResultCode.REQUEST_EXCEEDS_BURST, detail)));
            return;
        }
        long now = mLoop.clock().nowNanos();
        WaitingCharge waiting = new WaitingCharge(workspace, tokens, now + wait.toNanos(), sink);
        if (!limit.line().add(waiting)) {
            refuse(limit, waiting, limit.expectedNanos(limit.line().totalAmount(), now));
            return;
        }
        sink.onCancel(() -> mLoop.scheduler().schedule(() -> limit.line().remove(waiting)));
        serveLine(limit);
        if (!limit.line().isEmpty()) {
            mLoop.scheduler()
                    .schedule(() -> giveUp(limit, waiting), wait.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    /** Serves what can be paid, refuses what is not expected in time, and asks for the rest. */
    private void serveLine(QuotaLimit limit) {
        limit.line().serveInOrder(waiting -> serve(limit, waiting));
        long now = mLoop.clock().nowNanos();
        limit.line()
                .removeExpectedTimeouts(amount -> limit.expectedNanos(amount, now), now)
                .forEach(waiting -> refuse(limit, waiting, expectedNanos(limit, waiting)));
        ask(limit);
    }

    private long expectedNanos(QuotaLimit limit, WaitingCharge waiting) {
        long amount = limit.line().totalAmount() + waiting.amount();
        return limit.expectedNanos(amount, mLoop.clock().nowNanos());
    }

    private boolean serve(QuotaLimit limit, WaitingCharge waiting) {
        long now = mLoop.clock().nowNanos();
        Optional<Charge> charge = limit.account().charge(waiting.amount(), now);
        charge.ifPresent(
                taken -> {
                    QuotaCharge open = new QuotaCharge(waiting.workspace(), waiting.tokens());
                    mCharges.put(open, new OpenCharge(limit.account(), taken, now));
                    waiting.sink().success(Either.right(open));
                });
        return charge.isPresent();
    }

    /** Borrows for waiting charges, or ahead of demand when less than half the reserve is left. */
    private void ask(QuotaLimit limit) {
        if (limit.isAsking()) {
            return;
        }
        long now = mLoop.clock().nowNanos();
        long available = limit.account().available(now);
        long reserve = limit.account().reserve(now);
        if (limit.line().isEmpty() && available >= reserve / 2) {
            return;
        }
        long retry =
                limit.estimate()
                        .retryDelayNanos(limit.missing(limit.line().firstAmount(), now), now);
        if (retry > 0) {
            wakeLater(limit, retry);
            return;
        }
        limit.setAsking(true);
        long wanted = limit.line().totalAmount();
        long needed = Math.max(0, limit.missing(wanted, now));
        long ahead = Math.max(0, limit.account().amountToRequest(wanted, now) - needed);
        mExchange
                .borrow(limit, needed, ahead)
                .onErrorReturn(false)
                .subscribe(
                        enough -> {
                            limit.setAsking(false);
                            serveLine(limit);
                        });
    }

    private void wakeLater(QuotaLimit limit, long nanos) {
        if (!limit.line().isEmpty() && !limit.isWaking()) {
            limit.setWaking(true);
            mLoop.scheduler()
                    .schedule(
                            () -> {
                                limit.setWaking(false);
                                serveLine(limit);
                            },
                            nanos,
                            TimeUnit.NANOSECONDS);
        }
    }

    private void giveUp(QuotaLimit limit, WaitingCharge waiting) {
        if (limit.line().remove(waiting)) {
            refuse(limit, waiting, expectedNanos(limit, waiting));
        }
    }

    private void refuse(QuotaLimit limit, WaitingCharge waiting, long expectedNanos) {
        long expected = Math.min(expectedNanos, limit.burstNanos());
        long nanos = Math.max(expected, RefillEstimate.MIN_RETRY_DELAY_NANOS);
        Duration retryAfter = Duration.ofMillis((nanos + 999_999) / 1_000_000);
        mLog.log(
                QuotaEvent.CHARGE_REFUSED,
                field("workspace", waiting.workspace().name()),
                field("tokens", waiting.tokens()),
                field("retry_after", retryAfter));
        waiting.sink()
                .success(
                        Either.left(
                                Refusal.retryable(
                                        ResultCode.RATE_EXCEEDED,
                                        waiting.tokens() + " tokens",
                                        retryAfter)));
    }

    private Mono<Envelope.Builder> answer(Envelope envelope) {
        return limit(envelope.getQuotaRequest().getLimit())
                .map(
                        limit ->
                                mExchange.answer(
                                        limit, envelope.getSender(), envelope.getQuotaRequest()))
                .orElse(Mono.empty());
    }

    private void tick() {
        resizeAll();
        long now = mLoop.clock().nowNanos();
        for (QuotaLimit limit : mLimits.values()) {
            limit.account().returnUnneeded(limit.line().totalAmount(), now);
            mExchange.report(limit);
        }
        Iterator<OpenCharge> charges = mCharges.values().iterator();
        while (charges.hasNext()) {
            if (now - charges.next().chargedAt() > MAX_CHARGE_NANOS) {
                charges.remove();
            }
        }
    }

    private void resizeAll() {
        mConfiguration
                .current()
                .ifPresent(
                        configuration -> {
                            configuration.workspaces().keySet().stream()
                                    .map(workspace -> name(new Workspace(workspace)))
                                    .forEach(this::limit);
                            mLimits.values().removeIf(this::isForgotten);
                        });
    }

    /** A removed limit is kept until its lent tokens have expired, lest they exist twice. */
    private boolean isForgotten(QuotaLimit limit) {
        long now = mLoop.clock().nowNanos();
        if (plan(limit.name()).isEmpty()) {
            limit.resizeRemoved(mShares.ownParts(), mShares.partsByHost(), mLinks.liveHosts(), now);
        }
        return limit.isRemovedFor(mTimes.predecessorGrantLifetimeNanos(), now);
    }

    private Optional<QuotaLimit> limit(String name) {
        return plan(name).map(plan -> resized(name, plan));
    }

    private QuotaLimit resized(String name, Plan plan) {
        QuotaLimit limit = mLimits.computeIfAbsent(name, this::open);
        limit.resize(
                plan.tokensPerSecond(),
                plan.burstTokens(),
                mShares.ownParts(),
                mShares.partsByHost(),
                mLinks.liveHosts(),
                mLoop.clock().nowNanos());
        return limit;
    }

    private QuotaLimit open(String name) {
        long refillFrom = Math.max(mRefillFrom, mLoop.clock().nowNanos());
        return new QuotaLimit(name, mHost, new QuotaAccount(mTimes, refillFrom, mGrantIds));
    }

    private Optional<Plan> plan(String limitName) {
        Workspace workspace = new Workspace(limitName.substring(limitName.indexOf('/') + 1));
        return mConfiguration.current().flatMap(current -> current.planOf(workspace));
    }

    private static String name(Workspace workspace) {
        return "workspace/" + workspace.name();
    }

    private static Refusal notReady(Workspace workspace) {
        return Refusal.retryable(ResultCode.NOT_READY, workspace.name(), NOT_READY_RETRY);
    }
}
