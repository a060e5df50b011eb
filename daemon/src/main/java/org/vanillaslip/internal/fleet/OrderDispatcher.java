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
 * Sends orders, one at a time to each engine, and follows them until they are done. Every order
 * names the number of orders that the engine must have accepted before, so of two orders with the
 * same number at most one is carried out, however late an unanswered one arrives.
 */
final class OrderDispatcher {

    /** A report lags, so an order without an answer is open until reports are newer than it. */
    private static final Duration UNANSWERED_TIMEOUT = Duration.ofMillis(700);

    /** An accepted order that reports never show as done is looked at anew. */
    private static final Duration OVERDUE_AFTER = Duration.ofSeconds(20);

    /** An unload of a model without running calls is done within this time. */
    private static final Duration UNLOAD_TIME = Duration.ofMillis(40);

    /** A refused order is tried again this soon after an unload, which may wait for its calls. */
    private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(25);

    /**
     * Later tries are twice as far apart each, up to the interval in which reports show the end.
     */
    private static final int MAX_RETRIES = 4;

    /** A load from disk or memory takes its usual time; a little more for the way of the order. */
    private static final Duration LOAD_MARGIN = Duration.ofMillis(30);

    /** An adapter takes up to 14 ms from the store, as the deployments state; and its way. */
    private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(25);

    /** The time of day of two machines may differ by this much, and jumps by seconds. */
    private static final Duration CLOCK_ERROR = Duration.ofSeconds(5);

    private final String mHost;
    private final FleetLease mLease;
    private final FleetDirectory mDirectory;
    private final EngineControl mEngines;
    private final DecisionLoop mLoop;
    private final InstantSource mWallClock;
    private final OrderEventLogger mLog;
    private final UnconfirmedOrders mUnconfirmedOrders = new UnconfirmedOrders();
    private final Map<String, PendingOrder> mPending = new HashMap<>();
    private final Map<String, PendingOrder> mAssumedDone = new HashMap<>();
    private final Map<String, Integer> mRetries = new HashMap<>();
    private final Map<String, Long> mOrderedAt = new HashMap<>();
    private final EngineReportPoller mReports;
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
        mReports = new EngineReportPoller(lease, engines, loop, log, this::handleReport);
        mLoop = loop;
        mWallClock = wallClock;
        mLog = new OrderEventLogger(log);
    }

    /** Registers a listener for answers, reports and ends of orders. */
    void onProgress(Runnable listener) {
        mOnProgress = listener;
    }

    /** Forgets all orders, because this host has just taken or lost the lease. */
    void clear() {
        mPending.clear();
        mAssumedDone.clear();
        mRetries.clear();
        mReports.clear();
    }

    /** Notes that another host gave orders until now. */
    void recordTakeover() {
        mUnconfirmedOrders.recordTakeover(now());
    }

    /** Asks engines for reports that are due, and forgets orders to engines that are gone. */
    void refresh(Collection<FleetMember> engines) {
        long now = now();
        mPending.values().removeIf(pending -> !isListed(pending));
        mRecentLoads.removeServers(instance -> mDirectory.member(instance).isEmpty());
        mStoreParallelism.setRunningLoads(runningStoreLoads(), now);
        engines.forEach(mReports::pollIfDue);
    }

    private boolean isListed(PendingOrder pending) {
        return mDirectory
                .member(pending.order().instance())
                .filter(
                        member ->
                                member.registered().startedAtMillis() == pending.startedAtMillis())
                .isPresent();
    }

    /** Returns whether this life of the engine has reported since its orders were forgotten. */
    boolean hasTrustedReport(FleetMember member) {
        return mReports.isTrusted(member);
    }

    /** Returns what orders of unknown outcome may load once the engine accepts the next order. */
    UnconfirmedLoads unconfirmedLoads(FleetMember member, EngineProfile profile) {
        Duration age =
                Duration.ofMillis(mWallClock.millis() - member.registered().startedAtMillis())
                        .minus(CLOCK_ERROR);
        return mUnconfirmedOrders.possibleLoads(
                member.instance(),
                member.modelState().orderCount() + 1,
                age,
                member.firstStart(),
                profile,
                now());
    }

    /** Returns the order that the engine carries out. */
    Optional<PendingOrder> pendingOrder(String instance) {
        return Optional.ofNullable(mPending.get(instance));
    }

    /** Returns the models of the engine whose load has just ended. */
    Set<String> recentlyLoaded(String instance) {
        return mRecentLoads.modelsOn(instance, now());
    }

    /** Returns the number of loads from the weight store that have not ended. */
    int runningStoreLoads() {
        return (int)
                mPending.values().stream().filter(pending -> pending.order().fromStore()).count();
    }

    /** Sends an order while the lease allows it. */
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
                        member.modelState().orderCount(),
                        mHost,
                        mLease.term());
        mLog.logSent(planned, order);
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
            // No new call goes to what is about to make way.
            member.setModelState(ModelStateChanges.afterCompletion(member.modelState(), planned));
            mDirectory.changed();
        }
        mUnconfirmedOrders.recordSent(planned, order.expectedOrders(), now);
        mEngines.sendOrder(member.registered(), order)
                .publishOn(mLoop.scheduler())
                .subscribe(
                        answer -> handleAnswer(member, planned, answer),
                        error -> handleAnswer(member, planned, OrderAnswer.UNKNOWN));
    }

    private void handleAnswer(FleetMember member, PlannedOrder planned, OrderAnswer answer) {
        if (answer != OrderAnswer.UNKNOWN) {
            mUnconfirmedOrders.recordOutcome(planned);
        }
        String instance = planned.instance();
        PendingOrder pending = mPending.get(instance);
        if (pending == null || pending.order() != planned) {
            return;
        }
        mLog.logAnswer(planned, answer);
        switch (answer) {
            case ACCEPTED -> handleAccepted(member, pending);
            case ALREADY -> {
                mPending.remove(instance);
                if (planned.adapter().isPresent()) {
                    // An unused adapter is unloaded at once, which counts as an order.
                    completeAdapterOrder(
                            member, pending, planned.kind() == OrderKind.UNLOAD ? 1 : 0);
                } else {
                    // The server holds something else than was known.
                    mReports.distrust(instance);
                }
                mReports.pollAfter(member, EngineReportPoller.POLL_INTERVAL);
            }
            case REFUSED -> {
                restoreModelState(member, pending);
                handleRefused(member, planned);
            }
            case OTHER_SERVER -> {
                mPending.remove(instance);
                member.recordReplaced();
                mDirectory.changed();
            }
            case UNREACHED -> {
                restoreModelState(member, pending);
                mPending.remove(instance);
                member.health().recordUnreachable(now());
                mReports.distrust(instance);
            }
            case UNKNOWN -> mReports.pollAfter(member, EngineReportPoller.POLL_INTERVAL);
        }
        mOnProgress.run();
    }

    /** What was to make way is still there, because the order was not carried out. */
    private static void restoreModelState(FleetMember member, PendingOrder pending) {
        if (member.modelState().orderCount() == pending.expectedOrders()) {
            member.setModelState(pending.stateBefore());
        }
    }

    /**
     * Returns what the server held when it accepted the order. It was idle then, so a report that
     * shows it at work is from before that.
     */
    private static ServerModelState stateAtAcceptance(FleetMember member, PendingOrder pending) {
        ServerModelState known = member.modelState();
        boolean predatesAcceptance =
                known.executingOrder() && known.orderCount() == pending.expectedOrders();
        return predatesAcceptance ? pending.stateBefore() : known;
    }

    private void handleAccepted(FleetMember member, PendingOrder pending) {
        PlannedOrder planned = pending.order();
        long now = now();
        mAssumedDone.remove(planned.instance());
        mRetries.remove(planned.instance());
        mPending.put(planned.instance(), pending.asAccepted(now));
        if (planned.adapter().isPresent() && planned.kind() == OrderKind.LOAD) {
            // Adapter orders do not occupy the engine, and reports of them lag behind their end.
            mLoop.scheduler()
                    .schedule(
                            () -> completeAdapterOrder(member, pending, 1),
                            ADAPTER_LOAD_TIME.toNanos(),
                            TimeUnit.NANOSECONDS);
            return;
        } else if (planned.adapter().isPresent()) {
            // Calls use the adapter, which keeps its place until they have ended.
            mReports.pollAfter(member, EngineReportPoller.POLL_INTERVAL);
            return;
        }
        ServerModelState modelState =
                ModelStateChanges.afterAcceptance(stateAtAcceptance(member, pending), planned);
        member.setModelState(
                ModelStateChanges.withMinimumOrderCount(modelState, pending.expectedOrders() + 1));
        if (planned.fromStore()) {
            // Loads from the store share its speed, so only a report tells when one is done.
            mReports.pollAfter(
                    member, planned.expectedDuration().plus(EngineReportPoller.POLL_INTERVAL));
            return;
        }
        boolean unload = planned.kind() == OrderKind.UNLOAD;
        Duration expectedTime = unload ? UNLOAD_TIME : planned.expectedDuration().plus(LOAD_MARGIN);
        mLoop.scheduler()
                .schedule(
                        () -> assumeDone(member, planned),
                        expectedTime.toNanos(),
                        TimeUnit.NANOSECONDS);
    }

    /** Reports lag, so calls and the next order are tried before one shows the end of an order. */
    private void assumeDone(FleetMember member, PlannedOrder planned) {
        PendingOrder pending = mPending.get(planned.instance());
        if (pending == null || pending.order() != planned) {
            return;
        }
        mPending.remove(planned.instance());
        mAssumedDone.put(planned.instance(), pending);
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

    private void handleRefused(FleetMember member, PlannedOrder planned) {
        PendingOrder assumedDone = mAssumedDone.remove(planned.instance());
        if (assumedDone != null) {
            // The unload still waits for calls that run on the model.
            mPending.put(planned.instance(), assumedDone);
            mReports.pollAfter(member, EngineReportPoller.POLL_INTERVAL);
            if (assumedDone.order().kind() == OrderKind.UNLOAD) {
                retryLater(member, assumedDone);
            }
            return;
        }
        // What is known of the server is wrong, so a report that is newer than all orders decides.
        mPending.remove(planned.instance());
        mReports.distrust(planned.instance());
        mReports.pollAfter(
                member, FleetMember.MAX_REPORT_LAG.plus(EngineReportPoller.POLL_INTERVAL));
    }

    /** Reports lag, so an order after an unload is tried again before they show its end. */
    private void retryLater(FleetMember member, PendingOrder unload) {
        int retries = mRetries.merge(member.instance(), 1, Integer::sum);
        if (retries > MAX_RETRIES) {
            return;
        }
        long delay = FIRST_RETRY_DELAY.toNanos() << (retries - 1);
        mLoop.scheduler()
                .schedule(() -> assumeDone(member, unload.order()), delay, TimeUnit.NANOSECONDS);
    }

    private void completeAdapterOrder(FleetMember member, PendingOrder pending, int countedOrders) {
        mPending.remove(member.instance());
        ServerModelState done =
                ModelStateChanges.afterCompletion(
                        stateAtAcceptance(member, pending), pending.order());
        // A report may have counted the order already.
        member.setModelState(
                ModelStateChanges.withMinimumOrderCount(
                        done, pending.expectedOrders() + countedOrders));
        mDirectory.changed();
        mOnProgress.run();
    }

    private void handleReport(FleetMember member, ServerLoadReport report) {
        String instance = member.instance();
        PendingOrder pending = mPending.get(instance);
        long orderedAt = mOrderedAt.getOrDefault(instance, Long.MIN_VALUE / 2);
        // A report that comes sooner after an order may not count it.
        boolean newer = now() - orderedAt > FleetMember.MAX_REPORT_LAG.toNanos();
        if (newer) {
            mReports.trust(member);
        }
        mDirectory.applyReport(instance, member.registered().startedAtMillis(), report, newer);
        if (pending != null) {
            updatePendingOrder(member, pending, report);
        }
        mOnProgress.run();
    }

    private void updatePendingOrder(
            FleetMember member, PendingOrder pending, ServerLoadReport report) {
        long now = now();
        boolean current = report.modelState().orderCount() >= member.modelState().orderCount();
        boolean adapterOrder = pending.order().adapter().isPresent();
        if (adapterOrder && pending.accepted() && pending.order().kind() == OrderKind.LOAD) {
            return;
        }
        if (!pending.accepted()) {
            if (now - pending.sentNanos() > UNANSWERED_TIMEOUT.toNanos()) {
                mPending.remove(member.instance());
            } else {
                mReports.pollAfter(member, EngineReportPoller.POLL_INTERVAL);
            }
            return;
        }
        boolean counted = report.modelState().orderCount() > pending.expectedOrders();
        boolean done =
                current
                        && counted
                        && !report.modelState().executingOrder()
                        && showsResultOf(report.modelState(), pending);
        if (done || now - pending.expectedDoneNanos() > OVERDUE_AFTER.toNanos()) {
            if (done && pending.order().fromStore()) {
                mStoreParallelism.recordLoadEnd(
                        member.instance(), pending.order().expectedDuration(), now);
            }
            mPending.remove(member.instance());
            mRecentLoads.recordEnd(pending.order(), now);
            mLog.logFinished(pending, mStoreParallelism.parallelLoads(), now);
        } else {
            long remainingNanos = pending.expectedDoneNanos() - now;
            mReports.pollAfter(
                    member,
                    EngineReportPoller.POLL_INTERVAL.plusNanos(Math.max(0, remainingNanos)));
        }
    }

    private static boolean showsResultOf(ServerModelState modelState, PendingOrder pending) {
        PlannedOrder order = pending.order();
        Set<String> adapters = modelState.loaded().get(order.model());
        boolean loaded = adapters != null && order.adapter().map(adapters::contains).orElse(true);
        return loaded == (pending.order().kind() == OrderKind.LOAD);
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
