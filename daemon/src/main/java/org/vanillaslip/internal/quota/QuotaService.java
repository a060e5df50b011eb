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

/** Charges requests to the rate and burst of their workspace, which all hosts share. */
public final class QuotaService implements WorkspaceQuotas {

    /** Unsettled charges are dropped after this time; no request runs for this long. */
    private static final long MAX_CHARGE_AGE_NANOS = Duration.ofHours(1).toNanos();

    private static final Duration NOT_READY_RETRY_DELAY = Duration.ofSeconds(1);

    private final String mHost;
    private final DecisionLoop mLoop;
    private final ConfigurationView mConfiguration;
    private final PeerLinks mLinks;
    private final ShareView mShares;
    private final QuotaTimes mTimes;
    private final LongSupplier mGrantIds;
    private final EventLog mLog;
    private final QuotaExchange mExchange;
    private final long mRefillStartsAt;
    private final Map<String, QuotaLimit> mLimits = new HashMap<>();
    private final IdentityHashMap<QuotaCharge, UnsettledCharge> mUnsettledCharges =
            new IdentityHashMap<>();

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
        mRefillStartsAt = loop.clock().nowNanos() + times.predecessorGrantLifetimeNanos();
        mExchange = new QuotaExchange(host, loop.clock(), links, log);
    }

    /** Starts answering other hosts and sending reports. */
    public void start() {
        mLinks.handle(Envelope.BodyCase.QUOTA_REQUEST, this::answer);
        mLoop.scheduler()
                .schedulePeriodically(
                        this::tick, 0, mTimes.reportIntervalNanos(), TimeUnit.NANOSECONDS);
    }

    /** Returns all borrowed tokens before this host stops. */
    public void stop() {
        mLoop.scheduler()
                .schedule(
                        () -> {
                            long now = mLoop.clock().nowNanos();
                            mLimits.values().forEach(limit -> limit.account().returnAll(now));
                            mLimits.values().forEach(mExchange::report);
                        });
    }

    /** Returns whether all lent tokens fit into the current share. Runs on the decision loop. */
    public boolean fitsShare() {
        resizeAll();
        long now = mLoop.clock().nowNanos();
        return mLimits.values().stream().allMatch(limit -> limit.account().fitsCapacity(now));
    }

    @Override
    public Mono<Either<Refusal, QuotaCharge>> charge(
            Workspace workspace, long tokens, Duration wait) {
        return Mono.<Either<Refusal, QuotaCharge>>create(
                sink -> mLoop.scheduler().schedule(() -> enqueue(workspace, tokens, wait, sink)));
    }

    @Override
    public void settle(QuotaCharge charge, long usedTokens) {
        mLoop.scheduler()
                .schedule(
                        () ->
                                Optional.ofNullable(mUnsettledCharges.remove(charge))
                                        .ifPresent(
                                                unsettled ->
                                                        unsettled.settle(
                                                                usedTokens, mLoop.clock())));
    }

    private void enqueue(
            Workspace workspace,
            long tokens,
            Duration wait,
            MonoSink<Either<Refusal, QuotaCharge>> sink) {
        Optional<QuotaLimit> found = limit(limitName(workspace));
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
        if (!limit.chargeQueue().add(waiting)) {
            refuse(limit, waiting, limit.expectedWaitNanos(limit.chargeQueue().totalAmount(), now));
            return;
        }
        sink.onCancel(() -> mLoop.scheduler().schedule(() -> limit.chargeQueue().remove(waiting)));
        serveQueue(limit);
        if (!limit.chargeQueue().isEmpty()) {
            mLoop.scheduler()
                    .schedule(
                            () -> refuseAfterTimeout(limit, waiting),
                            wait.toNanos(),
                            TimeUnit.NANOSECONDS);
        }
    }

    /** Serves charges with available tokens, refuses expected timeouts and borrows for the rest. */
    private void serveQueue(QuotaLimit limit) {
        limit.chargeQueue().serveInOrder(waiting -> serve(limit, waiting));
        long now = mLoop.clock().nowNanos();
        limit.chargeQueue()
                .removeExpectedTimeouts(amount -> limit.expectedWaitNanos(amount, now), now)
                .forEach(waiting -> refuse(limit, waiting, expectedWaitNanos(limit, waiting)));
        borrowIfNeeded(limit);
    }

    private long expectedWaitNanos(QuotaLimit limit, WaitingCharge waiting) {
        long amount = limit.chargeQueue().totalAmount() + waiting.amount();
        return limit.expectedWaitNanos(amount, mLoop.clock().nowNanos());
    }

    private boolean serve(QuotaLimit limit, WaitingCharge waiting) {
        long now = mLoop.clock().nowNanos();
        Optional<Charge> charge = limit.account().charge(waiting.amount(), now);
        charge.ifPresent(
                charged -> {
                    QuotaCharge unsettled = new QuotaCharge(waiting.workspace(), waiting.tokens());
                    mUnsettledCharges.put(
                            unsettled, new UnsettledCharge(limit.account(), charged, now));
                    waiting.resultSink().success(Either.right(unsettled));
                });
        return charge.isPresent();
    }

    /** Borrows for waiting charges, or for the reserve when less than half of it is available. */
    private void borrowIfNeeded(QuotaLimit limit) {
        if (limit.isBorrowing()) {
            return;
        }
        long now = mLoop.clock().nowNanos();
        long available = limit.account().available(now);
        long reserve = limit.account().reserve(now);
        if (limit.chargeQueue().isEmpty() && available >= reserve / 2) {
            return;
        }
        long retryDelayNanos =
                limit.estimate()
                        .retryDelayNanos(
                                limit.shortfall(limit.chargeQueue().firstAmount(), now), now);
        if (retryDelayNanos > 0) {
            scheduleRetry(limit, retryDelayNanos);
            return;
        }
        limit.setBorrowing(true);
        long queuedAmount = limit.chargeQueue().totalAmount();
        long needed = Math.max(0, limit.shortfall(queuedAmount, now));
        long reserveAmount =
                Math.max(0, limit.account().amountToRequest(queuedAmount, now) - needed);
        mExchange
                .borrow(limit, needed, reserveAmount)
                .onErrorReturn(false)
                .subscribe(
                        enough -> {
                            limit.setBorrowing(false);
                            serveQueue(limit);
                        });
    }

    private void scheduleRetry(QuotaLimit limit, long delayNanos) {
        if (!limit.chargeQueue().isEmpty() && !limit.isRetryScheduled()) {
            limit.setRetryScheduled(true);
            mLoop.scheduler()
                    .schedule(
                            () -> {
                                limit.setRetryScheduled(false);
                                serveQueue(limit);
                            },
                            delayNanos,
                            TimeUnit.NANOSECONDS);
        }
    }

    private void refuseAfterTimeout(QuotaLimit limit, WaitingCharge waiting) {
        if (limit.chargeQueue().remove(waiting)) {
            refuse(limit, waiting, expectedWaitNanos(limit, waiting));
        }
    }

    private void refuse(QuotaLimit limit, WaitingCharge waiting, long expectedWaitNanos) {
        long boundedWaitNanos = Math.min(expectedWaitNanos, limit.burstRefillNanos());
        long delayNanos = Math.max(boundedWaitNanos, RefillEstimate.MIN_RETRY_DELAY_NANOS);
        Duration retryAfter = Duration.ofMillis((delayNanos + 999_999) / 1_000_000);
        mLog.log(
                QuotaEvent.CHARGE_REFUSED,
                field("workspace", waiting.workspace().name()),
                field("tokens", waiting.tokens()),
                field("retry_after", retryAfter));
        waiting.resultSink()
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
            limit.account().returnUnneeded(limit.chargeQueue().totalAmount(), now);
            mExchange.report(limit);
        }
        Iterator<UnsettledCharge> charges = mUnsettledCharges.values().iterator();
        while (charges.hasNext()) {
            if (now - charges.next().chargedAt() > MAX_CHARGE_AGE_NANOS) {
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
                                    .map(workspace -> limitName(new Workspace(workspace)))
                                    .forEach(this::limit);
                            mLimits.values().removeIf(this::isExpired);
                        });
    }

    /**
     * Returns whether a removed limit can be dropped. It is kept until its lent tokens have
     * expired, because a limit added again under its name would issue them a second time.
     */
    private boolean isExpired(QuotaLimit limit) {
        long now = mLoop.clock().nowNanos();
        if (planOfLimit(limit.name()).isEmpty()) {
            limit.resizeRemoved(mShares.ownParts(), mShares.partsByHost(), mLinks.liveHosts(), now);
        }
        return limit.isRemovedFor(mTimes.predecessorGrantLifetimeNanos(), now);
    }

    private Optional<QuotaLimit> limit(String name) {
        return planOfLimit(name).map(plan -> resizedLimit(name, plan));
    }

    private QuotaLimit resizedLimit(String name, Plan plan) {
        QuotaLimit limit = mLimits.computeIfAbsent(name, this::newLimit);
        limit.resize(
                plan.tokensPerSecond(),
                plan.burstTokens(),
                mShares.ownParts(),
                mShares.partsByHost(),
                mLinks.liveHosts(),
                mLoop.clock().nowNanos());
        return limit;
    }

    private QuotaLimit newLimit(String name) {
        long refillStartsAt = Math.max(mRefillStartsAt, mLoop.clock().nowNanos());
        return new QuotaLimit(name, mHost, new QuotaAccount(mTimes, refillStartsAt, mGrantIds));
    }

    private Optional<Plan> planOfLimit(String limitName) {
        Workspace workspace = new Workspace(limitName.substring(limitName.indexOf('/') + 1));
        return mConfiguration.current().flatMap(current -> current.planOf(workspace));
    }

    private static String limitName(Workspace workspace) {
        return "workspace/" + workspace.name();
    }

    private static Refusal notReady(Workspace workspace) {
        return Refusal.retryable(ResultCode.NOT_READY, workspace.name(), NOT_READY_RETRY_DELAY);
    }
}
