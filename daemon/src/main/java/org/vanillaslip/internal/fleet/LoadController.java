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

/** Plans loads while this host holds the lease; used on the decision loop only. */
public final class LoadController {

    /** Planning follows each event, and happens at least this often. */
    private static final Duration TICK = Duration.ofMillis(250);

    /** Events that come together are planned together. */
    private static final Duration GATHER = Duration.ofMillis(3);

    /** Each host reports its demand a few times a second. */
    private static final Duration GATHER_PER_HOST = Duration.ofNanos(200_000);

    /** Small against the time of a load from memory, the shortest one. */
    private static final Duration LONGEST_GATHER = Duration.ofMillis(60);

    private final FleetLease mLease;
    private final FleetDirectory mDirectory;
    private final PlanView mPlans;
    private final StoreParallelismEstimator mStoreSpeed;
    private final StoreLoadRateLimiter mStoreAllowance = new StoreLoadRateLimiter();
    private final DecisionLoop mLoop;
    private final FleetDemand mDemand;
    private final OrderDispatcher mDesk;
    private final CoalescingTask mPlanning;
    private BiConsumer<CallTarget, Optional<Duration>> mForecasts = (target, expected) -> {};
    private final Map<String, RefusedDemand> mRefused = new HashMap<>();

    /**
     * Creates a controller that sends nothing until its host holds the lease.
     *
     * @param storeLoads most loads from the weight store at once
     * @param timeOfDay clock by which servers state when they have started
     */
    public LoadController(
            String host,
            FleetLease lease,
            FleetDirectory directory,
            PlanView plans,
            EngineControl engines,
            int storeLoads,
            DecisionLoop loop,
            InstantSource timeOfDay,
            EventLog log) {
        mLease = lease;
        mDirectory = directory;
        mPlans = plans;
        mStoreSpeed = new StoreParallelismEstimator(storeLoads);
        mLoop = loop;
        mDemand = new FleetDemand(plans);
        mPlanning = plans(mDemand::hosts, this::plan, loop);
        mDesk =
                new OrderDispatcher(
                        host, lease, directory, engines, mStoreSpeed, loop, timeOfDay, log);
    }

    static CoalescingTask plans(IntSupplier hosts, Runnable plan, DecisionLoop loop) {
        return new CoalescingTask(GATHER, GATHER_PER_HOST, LONGEST_GATHER, hosts, plan, loop);
    }

    /** Registers a listener for the time at which a wanted model is expected, if it is planned. */
    public void onForecast(BiConsumer<CallTarget, Optional<Duration>> listener) {
        mForecasts = listener;
    }

    /** Starts planning. */
    public void start() {
        long period = TICK.toNanos();
        mDesk.onProgress(this::planSoon);
        mLoop.scheduler().schedulePeriodically(this::tick, period, period, TimeUnit.NANOSECONDS);
        mLease.onAcquired(this::taken);
    }

    /** Takes over the demand of a host. */
    public void recordDemand(String host, DemandReport report) {
        mDemand.note(host, report, now());
        planSoon();
    }

    private void taken() {
        mDesk.clear();
        if (mLease.term() > FleetLease.FIRST_TERM) {
            mDesk.takenOver();
        }
        mStoreAllowance.recordTakeover(mStoreSpeed.parallelLoads(), now());
        enginePools().forEach(this::assumeBusyModels);
        tick();
    }

    /** Models that stand on several servers are busy, as far as a new holder can know. */
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
            mDesk.clear();
            return;
        }
        mDemand.forgetSilentHosts(now());
        enginePools().forEach(pool -> mDesk.refresh(mDirectory.inService(pool)));
        plan();
    }

    private void planSoon() {
        if (mLease.held()) {
            mPlanning.soon();
        }
    }

    private void plan() {
        if (!mLease.mayOrder()) {
            return;
        }
        for (String pool : enginePools()) {
            mDemand.profile(pool).ifPresent(found -> plan(pool, found));
        }
    }

    private void plan(String pool, EngineProfile profile) {
        long now = now();
        Map<ModelName, LoadDemand> waiting = mDemand.wishes(pool, this::held, now);
        RefusedDemand refused = mRefused.computeIfAbsent(pool, name -> new RefusedDemand());
        Map<ModelName, LoadDemand> wishes = refused.merge(waiting, name -> held(pool, name), now);
        LoadPlan plan =
                LoadPlanner.plan(
                        profile,
                        mDemand.history(pool),
                        engines(pool, profile),
                        wishes.values(),
                        mStoreSpeed.parallelLoads(),
                        storeFree(profile, now),
                        now);
        plan.orders().forEach(this::give);
        waiting.forEach(
                (model, wish) -> {
                    Optional<Duration> expected =
                            Optional.ofNullable(plan.expectedWaits().get(model));
                    expected.ifPresent(wait -> refused.recordForecast(wish, wait, now));
                    mForecasts.accept(new CallTarget(pool, Optional.of(model)), expected);
                });
    }

    private void give(PlannedOrder order) {
        if (order.fromStore()) {
            mStoreSpeed.recordLoadStart(order.instance(), now());
            mStoreAllowance.recordLoadStart(now());
        }
        mDesk.give(order);
    }

    private int storeFree(EngineProfile profile, long nowNanos) {
        return Math.min(
                mStoreSpeed.parallelLoads() - mDesk.storeLoads(),
                mStoreAllowance.availableLoads(profile.storeLoadsPerSecond(), nowNanos));
    }

    /** A load that ended after a host wrote its report has met the wish. */
    private boolean held(String pool, ModelName name) {
        long now = now();
        return mDirectory.inService(pool).stream().anyMatch(member -> member.hasLoaded(name, now));
    }

    private List<EngineState> engines(String pool, EngineProfile profile) {
        long now = now();
        Map<String, Map<String, Integer>> running = mDemand.running();
        List<EngineState> engines = new ArrayList<>();
        for (FleetMember member : mDirectory.inService(pool)) {
            if (mDesk.trusts(member) && member.health().usable(now)) {
                Map<String, Integer> calls = running.getOrDefault(member.instance(), Map.of());
                engines.add(engine(member, calls, mDesk.late(member, profile), now));
            }
        }
        return engines;
    }

    private EngineState engine(
            FleetMember member,
            Map<String, Integer> running,
            UnconfirmedLoads late,
            long nowNanos) {
        Optional<PendingOrder> pending = mDesk.pending(member.instance());
        Duration busy =
                pending.map(order -> Duration.ofNanos(Math.max(1, order.doneNanos() - nowNanos)))
                        .orElse(Duration.ZERO);
        return new EngineState(
                member.instance(),
                member.registered().failureDomain(),
                member.modelState(),
                running,
                member.activeCalls(),
                busy,
                pending.map(order -> order.order().purpose()),
                mDesk.fresh(member.instance()),
                late);
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
