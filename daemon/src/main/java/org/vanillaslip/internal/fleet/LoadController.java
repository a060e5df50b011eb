package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.IntSupplier;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ServicePool;
import org.vanillaslip.messages.DemandReport;

/** Plans model loads while this host holds the lease; used on the decision loop only. */
public final class LoadController {

    /** Interval of planning in the absence of events. */
    private static final Duration TICK = Duration.ofMillis(250);

    /** Events that occur within this time are planned together. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(3);

    /** Grows with the number of hosts, as each reports its demand a few times a second. */
    private static final Duration BATCH_DELAY_PER_HOST = Duration.ofNanos(200_000);

    /** Short compared to a load from memory, the shortest load. */
    private static final Duration MAX_BATCH_DELAY = Duration.ofMillis(60);

    private final FleetLease mLease;
    private final FleetDirectory mDirectory;
    private final PlanView mPlans;
    private final StoreParallelismEstimator mStoreParallelism;
    private final StoreLoadRateLimiter mStoreRateLimiter = new StoreLoadRateLimiter();
    private final DecisionLoop mLoop;
    private final FleetDemand mDemand;
    private final OrderDispatcher mDispatcher;
    private final CoalescingTask mPlanningTask;
    private BiConsumer<String, DemandReport> mDemandListener = (host, report) -> {};
    private ForecastListener mForecastListener = (target, expected, reportTimes) -> {};
    private final Map<String, RefusedDemand> mRefused = new HashMap<>();

    /**
     * Creates a controller that sends no orders until this host holds the lease.
     *
     * @param maxStoreLoads maximum number of parallel loads from the weight store
     * @param wallClock clock to compare with the start times of servers
     */
    public LoadController(
            String host,
            FleetLease lease,
            FleetDirectory directory,
            PlanView plans,
            EngineControl engines,
            int maxStoreLoads,
            DecisionLoop loop,
            InstantSource wallClock,
            EventLog log) {
        mLease = lease;
        mDirectory = directory;
        mPlans = plans;
        mStoreParallelism = new StoreParallelismEstimator(maxStoreLoads);
        mLoop = loop;
        mDemand = new FleetDemand(plans);
        mPlanningTask = planningTask(mDemand::hostCount, this::plan, loop);
        mDispatcher =
                new OrderDispatcher(
                        host, lease, directory, engines, mStoreParallelism, loop, wallClock, log);
    }

    static CoalescingTask planningTask(IntSupplier hosts, Runnable plan, DecisionLoop loop) {
        return new CoalescingTask(
                BATCH_DELAY, BATCH_DELAY_PER_HOST, MAX_BATCH_DELAY, hosts, plan, loop);
    }

    /** Registers the listener for expected waits. */
    public void onForecast(ForecastListener listener) {
        mForecastListener = listener;
    }

    /** Registers the listener for the demand reports of all hosts. */
    public void onDemand(BiConsumer<String, DemandReport> listener) {
        mDemandListener = listener;
    }

    /** Starts planning. */
    public void start() {
        long period = TICK.toNanos();
        mDispatcher.onProgress(this::schedulePlanning);
        mLoop.scheduler().schedulePeriodically(this::tick, period, period, TimeUnit.NANOSECONDS);
        mLease.handover().unansweredServers(mDispatcher::unansweredServers);
        mLease.onAcquired(this::handleLeaseAcquired);
    }

    /** Records the demand of a host and schedules planning. */
    public void recordDemand(String host, DemandReport report) {
        mDemand.recordReport(host, report, now());
        mDemandListener.accept(host, report);
        schedulePlanning();
    }

    private void handleLeaseAcquired() {
        mDispatcher.clear();
        if (mLease.term() > FleetLease.FIRST_TERM) {
            mDispatcher.recordTakeover();
        }
        mStoreRateLimiter.recordTakeover(mStoreParallelism.parallelLoads(), now());
        enginePools().forEach(this::assumeBusyModels);
        tick();
    }

    /** A new lease holder has no demand history, so it assumes that replicated models are busy. */
    private void assumeBusyModels(String pool) {
        long now = now();
        Map<String, Integer> replicas = new HashMap<>();
        for (FleetMember member : mDirectory.inService(pool)) {
            member.modelState()
                    .loaded()
                    .keySet()
                    .forEach(name -> replicas.merge(name, 1, Integer::sum));
        }
        replicas.forEach(
                (name, count) -> {
                    if (count > 1) {
                        mDemand.history(pool).recordCalls(name, count, true, now);
                    }
                });
    }

    private void tick() {
        if (!mLease.held()) {
            mDispatcher.clear();
            return;
        }
        mDemand.removeSilentHosts(now());
        enginePools().forEach(pool -> mDispatcher.refresh(mDirectory.inService(pool)));
        plan();
    }

    private void schedulePlanning() {
        if (mLease.held()) {
            mPlanningTask.schedule();
        }
    }

    private void plan() {
        if (!mLease.mayOrder()) {
            return;
        }
        for (String pool : enginePools()) {
            mDemand.engineProfile(pool).ifPresent(found -> plan(pool, found));
        }
    }

    private void plan(String pool, EngineProfile profile) {
        long now = now();
        Map<ModelName, LoadDemand> waiting = mDemand.loadDemands(pool, this::isLoaded, now);
        RefusedDemand refused = mRefused.computeIfAbsent(pool, name -> new RefusedDemand());
        Map<ModelName, LoadDemand> demands =
                refused.merge(waiting, name -> isLoaded(pool, name), now);
        List<EngineState> engines = engineStates(pool, profile);
        int maxStoreLoads =
                StoreLoadShare.maxLoads(engines.size(), mStoreParallelism.parallelLoads());
        LoadPlan plan =
                LoadPlanner.plan(
                        profile,
                        mDemand.history(pool),
                        engines,
                        demands.values(),
                        maxStoreLoads,
                        availableStoreLoads(profile, maxStoreLoads, now),
                        now);
        plan.orders().forEach(this::sendOrder);
        Map<ModelName, Map<String, Long>> waitingHosts = mDemand.waitingHosts(pool);
        waiting.forEach(
                (model, demand) -> {
                    Optional<Duration> expected =
                            Optional.ofNullable(plan.expectedWaits().get(model));
                    expected.ifPresent(wait -> refused.recordForecast(demand, wait, now));
                    mForecastListener.onForecast(
                            new CallTarget(pool, Optional.of(model)),
                            expected,
                            waitingHosts.getOrDefault(model, Map.of()));
                });
    }

    private void sendOrder(PlannedOrder order) {
        if (order.fromStore()) {
            mStoreParallelism.recordLoadStart(order.instance(), now());
            mStoreRateLimiter.recordLoadStart(now());
        }
        mDispatcher.send(order);
    }

    private int availableStoreLoads(EngineProfile profile, int maxStoreLoads, long nowNanos) {
        return Math.min(
                maxStoreLoads - mDispatcher.runningStoreLoads(),
                mStoreRateLimiter.availableLoads(profile.storeLoadsPerSecond(), nowNanos));
    }

    /** Demand may be met by a load that ended after the host sent its report. */
    private boolean isLoaded(String pool, ModelName name) {
        long now = now();
        return mDirectory.inService(pool).stream().anyMatch(member -> member.hasLoaded(name, now));
    }

    private List<EngineState> engineStates(String pool, EngineProfile profile) {
        long now = now();
        Map<String, Map<String, Integer>> running = mDemand.runningCalls();
        List<EngineState> engines = new ArrayList<>();
        for (FleetMember member : mDirectory.inService(pool)) {
            if (mDispatcher.canOrder(member) && member.health().usable(now)) {
                Map<String, Integer> calls = running.getOrDefault(member.instance(), Map.of());
                engines.add(
                        toEngineState(
                                member, calls, mDispatcher.unconfirmedLoads(member, profile), now));
            }
        }
        return engines;
    }

    private EngineState toEngineState(
            FleetMember member,
            Map<String, Integer> running,
            UnconfirmedLoads unconfirmedLoads,
            long nowNanos) {
        Optional<PendingOrder> pending = mDispatcher.pendingOrder(member.instance());
        Duration busy =
                pending.map(
                                order ->
                                        Duration.ofNanos(
                                                Math.max(1, order.expectedDoneNanos() - nowNanos)))
                        .orElse(Duration.ZERO);
        return new EngineState(
                member.instance(),
                member.registered().failureDomain(),
                member.modelState(),
                running,
                member.activeCalls(),
                busy,
                pending.map(order -> order.order().loadTarget()),
                mDispatcher.recentlyLoaded(member.instance()),
                unconfirmedLoads);
    }

    private List<String> enginePools() {
        return mPlans.current()
                .map(
                        plan ->
                                plan.pools().values().stream()
                                        .filter(pool -> pool.engine().isPresent())
                                        .map(ServicePool::name)
                                        .toList())
                .orElse(List.of());
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
