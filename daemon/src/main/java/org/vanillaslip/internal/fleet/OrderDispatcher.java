package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.EngineProfile;

/**
 * Sends orders, one at a time to each engine, and tracks them until they are completed. Every order
 * contains the number of orders that the engine must have accepted before. So of two orders with
 * the same number at most one is executed, however late an unanswered one arrives.
 */
final class OrderDispatcher {

    /** Deployments state up to 14 ms from the store; the rest is the transfer of the order. */
    private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(25);

    private final String mHost;
    private final FleetLease mLease;
    private final FleetDirectory mDirectory;
    private final EngineControl mEngines;
    private final DecisionLoop mLoop;
    private final LateOrderGuard mLateOrders;
    private final OrderEventLogger mLog;
    private final UnconfirmedOrders mUnconfirmedOrders = new UnconfirmedOrders();
    private final UncertainOrderCounts mCounts = new UncertainOrderCounts();
    private final Map<String, PendingOrder> mPending = new HashMap<>();
    private final AssumedCompletions mAssumedDone = new AssumedCompletions();
    private final Map<String, Long> mOrderedAt = new HashMap<>();
    private final ReportPoller mPoller;
    private final RecentLoads mRecentLoads = new RecentLoads();
    private final StoreParallelismEstimator mStoreParallelism;
    private Runnable mOnProgress = () -> {};

    OrderDispatcher(
            String host,
            FleetLease lease,
            FleetDirectory directory,
            EngineControl engines,
            StoreParallelismEstimator storeParallelism,
            DecisionLoop loop,
            InstantSource wallClock,
            EventLog log) {
        mHost = host;
        mLease = lease;
        mDirectory = directory;
        mEngines = engines;
        mStoreParallelism = storeParallelism;
        mPoller = new ReportPoller(lease, engines, loop, log, this::handleReport);
        mLoop = loop;
        mLateOrders = new LateOrderGuard(lease, loop, wallClock, log);
        mLog = new OrderEventLogger(log);
    }

    /** Registers a listener for answers, reports and completions of orders. */
    void onProgress(Runnable listener) {
        mOnProgress = listener;
    }

    /** Clears all pending orders, because this host has just acquired or lost the lease. */
    void clear() {
        mPending.clear();
        mAssumedDone.clear();
        mLateOrders.clear();
        mCounts.clear();
        mPoller.clear();
    }

    /** Records that another host could send orders until now. */
    void recordTakeover() {
        mUnconfirmedOrders.recordTakeover(now());
    }

    /** Polls engines whose reports are due, and drops orders to engines that are gone. */
    void refresh(Collection<FleetMember> engines) {
        long now = now();
        mPending.values().removeIf(pending -> !isListed(pending));
        mCounts.retainStarts(mDirectory.startIds());
        mRecentLoads.removeServers(instance -> mDirectory.member(instance).isEmpty());
        mStoreParallelism.setRunningLoads(runningStoreLoads(), now);
        engines.forEach(mPoller::pollIfDue);
    }

    private boolean isListed(PendingOrder pending) {
        return mDirectory
                .member(pending.order().instance())
                .filter(found -> found.registered().startedAtMillis() == pending.startedAtMillis())
                .isPresent();
    }

    /** Returns whether the engine's state is known and only orders of this host can reach it. */
    boolean canOrder(FleetMember member) {
        return mPoller.isTrusted(member) && !mLateOrders.mustWait(member);
    }

    /** Returns the servers that have not answered an order. */
    Set<String> unansweredServers() {
        return mUnconfirmedOrders.unansweredServers(now());
    }

    /** Returns what unconfirmed orders may still load after the engine accepts the next order. */
    UnconfirmedLoads unconfirmedLoads(FleetMember member, EngineProfile profile) {
        return mCounts.possibleLoads(
                mUnconfirmedOrders, member, mLateOrders.age(member), profile, now());
    }

    Optional<PendingOrder> pendingOrder(String instance) {
        return Optional.ofNullable(mPending.get(instance));
    }

    /** Returns the models of the engine whose load has just ended. */
    Set<String> recentlyLoaded(String instance) {
        return mRecentLoads.modelsOn(instance, now());
    }

    /** Returns the number of pending loads from the weight store. */
    int runningStoreLoads() {
        return (int) mPending.values().stream().filter(entry -> entry.order().fromStore()).count();
    }

    /** Sends an order if the lease allows it. */
    void send(PlannedOrder planned) {
        if (!mLease.mayOrder()) {
            return;
        }
        FleetMember member = mDirectory.member(planned.instance()).orElseThrow();
        long now = now();
        EngineOrder order =
                new EngineOrder(
                        planned.kind(),
                        planned.model(),
                        planned.adapter(),
                        mCounts.lowestCount(member),
                        mHost,
                        mLease.term());
        mLog.logSent(planned, order, member.registered().startedAtMillis());
        mOrderedAt.put(planned.instance(), now);
        mPending.put(
                planned.instance(),
                new PendingOrder(
                        planned,
                        member.registered().startedAtMillis(),
                        member.modelState(),
                        order.expectedOrders(),
                        now,
                        now + planned.expectedDuration().toNanos(),
                        false));
        if (planned.kind() == OrderKind.UNLOAD) {
            // New calls are not sent to a model or adapter that is about to be unloaded.
            member.setModelState(ModelStateChanges.afterCompletion(member.modelState(), planned));
            mDirectory.changed();
        }
        mCounts.recordSent(member, planned);
        mUnconfirmedOrders.recordSent(planned, order.expectedOrders(), now);
        mEngines.sendOrder(member.registered(), order, mLateOrders.permission(member, order))
                .publishOn(mLoop.scheduler())
                .subscribe(
                        answer -> handleAnswer(member, planned, answer),
                        error -> handleAnswer(member, planned, OrderAnswer.UNKNOWN));
    }

    private void handleAnswer(FleetMember member, PlannedOrder planned, OrderAnswer answer) {
        String instance = planned.instance();
        if (answer == OrderAnswer.UNKNOWN) {
            mAssumedDone.recordUnanswered(instance);
        } else {
            mUnconfirmedOrders.recordOutcome(planned);
        }
        PendingOrder pending = mPending.get(instance);
        if (pending == null || pending.order() != planned) {
            return;
        }
        mLog.logAnswer(planned, answer);
        mLateOrders.recordAnswer(member, pending.expectedOrders(), answer);
        switch (answer) {
            case ACCEPTED -> handleAccepted(member, pending);
            case ALREADY -> {
                mAssumedDone.recordIdle(instance);
                mPending.remove(instance);
                if (planned.adapter().isPresent()) {
                    boolean unload = planned.kind() == OrderKind.UNLOAD;
                    if (unload) {
                        mCounts.recordUnloaded(member, pending.expectedOrders());
                    }
                    // An unused adapter is unloaded at once, which the engine counts as an order.
                    completeAdapter(member, pending, unload ? 1 : 0);
                } else {
                    // The server's models differ from the known ones.
                    mPoller.distrust(instance);
                }
                mPoller.pollAfter(member, ReportPoller.POLL_INTERVAL);
            }
            case REFUSED -> {
                restoreModelState(member, pending);
                handleRefused(member, pending);
            }
            case OTHER_SERVER -> {
                mPending.remove(instance);
                member.recordReplaced();
                mDirectory.changed();
            }
            case NOT_PERMITTED -> {
                restoreModelState(member, pending);
                mPending.remove(instance);
            }
            case UNREACHED -> {
                restoreModelState(member, pending);
                mPending.remove(instance);
                member.health().recordUnreachable(now());
                mPoller.distrust(instance);
            }
            case UNKNOWN -> mPoller.pollAfter(member, ReportPoller.POLL_INTERVAL);
        }
        mOnProgress.run();
    }

    /** Undoes the assumed effect of an order that was not executed. */
    private static void restoreModelState(FleetMember member, PendingOrder pending) {
        if (member.modelState().orderCount() == pending.stateBefore().orderCount()) {
            member.setModelState(pending.stateBefore());
        }
    }

    private void handleAccepted(FleetMember member, PendingOrder pending) {
        PlannedOrder planned = pending.order();
        long now = now();
        mAssumedDone.recordIdle(planned.instance());
        mCounts.recordAccepted(member, planned);
        mPending.put(planned.instance(), pending.asAccepted(now));
        if (planned.adapter().isPresent() && planned.kind() == OrderKind.LOAD) {
            // Adapter orders do not occupy the engine, and reports lag behind their completion.
            mLoop.scheduler()
                    .schedule(
                            () -> completeAdapter(member, pending, 1),
                            ADAPTER_LOAD_TIME.toNanos(),
                            TimeUnit.NANOSECONDS);
            return;
        } else if (planned.adapter().isPresent()) {
            // Calls use the adapter, which occupies its slot until they have ended.
            mPoller.pollAfter(member, ReportPoller.POLL_INTERVAL);
            return;
        }
        ServerModelState modelState =
                ModelStateChanges.afterAcceptance(
                        pending.stateAtAccept(member.modelState()), planned);
        member.setModelState(
                ModelStateChanges.withMinimumOrderCount(modelState, pending.expectedOrders() + 1));
        if (planned.fromStore()) {
            // Parallel loads share the store's bandwidth, so only a report shows the end of one.
            mPoller.pollAfter(member, planned.expectedDuration().plus(ReportPoller.POLL_INTERVAL));
            return;
        }
        assumeDoneAfter(member, planned, AssumedCompletions.usualTime(planned));
    }

    private void assumeDoneAfter(FleetMember member, PlannedOrder planned, Duration delay) {
        mLoop.scheduler()
                .schedule(() -> assumeDone(member, planned), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Reports lag, so calls and the next order are sent before one shows an order as completed. */
    private void assumeDone(FleetMember member, PlannedOrder planned) {
        PendingOrder pending = mPending.get(planned.instance());
        if (pending == null || pending.order() != planned) {
            return;
        }
        if (!pending.isLastOf(member)) {
            // An order that got no answer has been executed, so only a report shows the models.
            mPoller.pollAfter(member, ReportPoller.POLL_INTERVAL);
            return;
        }
        mPending.remove(planned.instance());
        mAssumedDone.record(pending);
        ServerModelState modelState =
                planned.kind() == OrderKind.LOAD
                        ? ModelStateChanges.afterCompletion(member.modelState(), planned)
                        : member.modelState();
        member.assumeOrderDone(modelState, now());
        mRecentLoads.recordEnd(planned, now());
        mLog.logAssumedDone(pending, now());
        mDirectory.changed();
        mOnProgress.run();
    }

    private void handleRefused(FleetMember member, PendingOrder refused) {
        PlannedOrder planned = refused.order();
        if (mCounts.isUncertain(member)
                && !mUnconfirmedOrders.mayExecute(
                        planned.instance(), refused.expectedOrders(), now())) {
            // The server was idle at the lower count, so it has counted the unload before.
            mCounts.recordCertain(member);
            mPending.remove(planned.instance());
            send(planned);
            return;
        }
        Optional<PendingOrder> assumedDone = mAssumedDone.withdraw(member);
        if (assumedDone.isPresent()) {
            handleNotDone(member, assumedDone.get());
            return;
        }
        // The known state of the server is wrong, so wait for a report newer than all orders.
        mPending.remove(planned.instance());
        mCounts.recordOtherOrder(member);
        mPoller.distrust(member.instance());
        mPoller.pollAfter(member, FleetMember.MAX_REPORT_LAG.plus(ReportPoller.POLL_INTERVAL));
    }

    /** Reports lag, so the order after an unload is retried before they show the unload's end. */
    private void handleNotDone(FleetMember member, PendingOrder assumedDone) {
        // An unload still waits for calls that run on the model.
        mPending.put(member.instance(), assumedDone);
        mPoller.pollAfter(member, ReportPoller.POLL_INTERVAL);
        mAssumedDone
                .nextRetryDelay(assumedDone)
                .ifPresent(delay -> assumeDoneAfter(member, assumedDone.order(), delay));
    }

    private void completeAdapter(FleetMember member, PendingOrder pending, int count) {
        mPending.remove(member.instance());
        ServerModelState done =
                ModelStateChanges.afterCompletion(
                        pending.stateAtAccept(member.modelState()), pending.order());
        // A report may already include the order in its count.
        member.setModelState(
                ModelStateChanges.withMinimumOrderCount(done, pending.expectedOrders() + count));
        mDirectory.changed();
        mOnProgress.run();
    }

    private void handleReport(FleetMember member, ServerLoadReport report) {
        String instance = member.instance();
        PendingOrder pending = mPending.get(instance);
        long orderedAt = mOrderedAt.getOrDefault(instance, Long.MIN_VALUE / 2);
        // A report that arrives sooner after an order may not include it in its count.
        boolean newer = now() - orderedAt > FleetMember.MAX_REPORT_LAG.toNanos();
        if (newer) {
            mPoller.trust(member);
        }
        if (newer || report.modelState().orderCount() >= member.modelState().orderCount()) {
            mCounts.recordCertain(member);
        }
        long raisedBefore = member.orderCounts().raisedAtNanos();
        mDirectory.applyReport(instance, member.registered().startedAtMillis(), report, newer);
        if (member.orderCounts().raisedAtNanos() != raisedBefore) {
            mLog.logCountRaised(member, mLease.term());
            mCounts.recordOtherOrder(member);
        }
        if (pending != null) {
            updatePending(member, pending, report);
        }
        mOnProgress.run();
    }

    private void updatePending(FleetMember member, PendingOrder pending, ServerLoadReport report) {
        long now = now();
        boolean adapterOrder = pending.order().adapter().isPresent();
        if (adapterOrder && pending.accepted() && pending.order().kind() == OrderKind.LOAD) {
            return;
        }
        if (!pending.accepted()) {
            if (pending.isOlderThanReports(now)) {
                mPending.remove(member.instance());
            } else {
                mPoller.pollAfter(member, ReportPoller.POLL_INTERVAL);
            }
            return;
        }
        boolean current = report.modelState().orderCount() >= member.modelState().orderCount();
        boolean done = current && pending.isDoneIn(report.modelState());
        if (done || pending.isOverdue(now)) {
            if (done && pending.order().fromStore()) {
                mStoreParallelism.recordLoadEnd(
                        member.instance(), pending.order().expectedDuration(), now);
            }
            mPending.remove(member.instance());
            mRecentLoads.recordEnd(pending.order(), now);
            mLog.logFinished(pending, mStoreParallelism.parallelLoads(), now);
        } else {
            long remaining = pending.expectedDoneNanos() - now;
            mPoller.pollAfter(member, ReportPoller.POLL_INTERVAL.plusNanos(Math.max(0, remaining)));
        }
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
