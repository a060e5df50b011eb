package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;

/**
 * Plans the loads and unloads of one pool. Models with waiting callers come first, in {@link
 * DemandOrder}; then replicas of busy models; then models whose weights no server has.
 */
public final class LoadPlanner {

    /** Time of an order that reads no weights, including the delay until its end is reported. */
    static final Duration ORDER_TIME = Duration.ofMillis(120);

    /** Cost of each call on an engine, so that an idle engine is slightly preferred for a load. */
    private static final double ACTIVE_CALL_COST_MILLIS = 4;

    /** Maximum eviction cost of a load without waiting callers. */
    private static final double MAX_EVICTION_COST_MILLIS = 450;

    /**
     * A wait for an engine with a copy may take this many times as long as a load from the store.
     */
    private static final int STORE_LOAD_WEIGHT = 2;

    /** Urgent calls per second at which a model gets a second replica. */
    private static final double REPLICATION_RATE = 0.25;

    /** Urgent calls per second that one replica serves. */
    private static final double CALLS_PER_REPLICA = 12;

    /** Fraction of a server's request slots that a model may use before it gets another replica. */
    private static final double REPLICA_SLOT_FRACTION = 0.4;

    /** Calls per second up to which a pool is idle; else models are preloaded one at a time. */
    private static final double MAX_IDLE_RATE = 0.5;

    /** Maximum fraction of the pool's model capacity for replicas of busy models. */
    private static final double MAX_REPLICA_FRACTION = 0.6;

    private final EngineProfile mProfile;
    private final DemandHistory mHistory;
    private final List<EngineState> mEngines;
    private final int mMaxStoreLoads;
    private final long mNowNanos;
    private final AdapterPlacement mAdapterPlacement;
    private final EvictionSelector mEviction;
    private final OrderBlockingCost mBlockingCost;
    private final Set<String> mOrdered = new HashSet<>();
    private final List<PlannedOrder> mOrders = new ArrayList<>();
    private final Map<ModelName, Duration> mWaits = new HashMap<>();
    private final Map<String, Duration> mBusyTimes = new HashMap<>();
    private int mStoreBudget;
    private int mQueuedStoreLoads;

    private LoadPlanner(
            EngineProfile profile,
            DemandHistory history,
            List<EngineState> engines,
            Collection<LoadDemand> demands,
            int maxStoreLoads,
            int storeBudget,
            long nowNanos) {
        mProfile = profile;
        mHistory = history;
        mEngines = engines;
        mMaxStoreLoads = Math.max(1, maxStoreLoads);
        mStoreBudget = storeBudget;
        mNowNanos = nowNanos;
        Set<String> requested =
                demands.stream().map(demand -> demand.model().model()).collect(Collectors.toSet());
        mAdapterPlacement =
                new AdapterPlacement(
                        profile,
                        history,
                        demands.stream().map(LoadDemand::model).collect(Collectors.toSet()));
        mEviction = new EvictionSelector(profile, history, replicas(), requested, nowNanos);
        mBlockingCost = new OrderBlockingCost(profile, history, engines, nowNanos);
    }

    /**
     * Returns the orders to send now and the expected waits.
     *
     * @param maxStoreLoads number of parallel loads that the weight store serves at full speed
     * @param storeBudget number of store loads that may start now
     */
    public static LoadPlan plan(
            EngineProfile profile,
            DemandHistory history,
            List<EngineState> engines,
            Collection<LoadDemand> demands,
            int maxStoreLoads,
            int storeBudget,
            long nowNanos) {
        LoadPlanner planner =
                new LoadPlanner(
                        profile, history, engines, demands, maxStoreLoads, storeBudget, nowNanos);
        engines.forEach(
                engine -> engine.modelState().loaded().keySet().forEach(history::recordLoaded));
        new DemandOrder(profile, history, engines).sorted(demands).forEach(planner::planDemand);
        planner.replicateBusyModels();
        if (demands.isEmpty()) {
            planner.preloadUncachedModels();
        }
        return new LoadPlan(planner.mOrders, planner.mWaits);
    }

    private void planDemand(LoadDemand demand) {
        ModelProfile model = mProfile.models().get(demand.model().model());
        if (model == null) {
            return;
        }
        List<EngineState> enginesWithModel =
                mEngines.stream()
                        .filter(engine -> engine.modelState().loaded().containsKey(model.name()))
                        .toList();
        if (!enginesWithModel.isEmpty()) {
            if (demand.model().adapter().isPresent()) {
                planAdapter(demand, enginesWithModel);
            }
            return;
        }
        Optional<EngineState> loading =
                mEngines.stream()
                        .filter(engine -> engine.isLoadedOrLoading(model.name()))
                        .findFirst();
        if (loading.isPresent()) {
            mWaits.put(demand.model(), loading.get().busyFor().plus(ORDER_TIME));
            return;
        }
        Optional<LoadOption> best = bestOption(model, Double.MAX_VALUE);
        Optional<EngineState> busy = earliestBusyEngineWithCopy(model);
        boolean waitForBusy =
                busy.isPresent()
                        && best.map(
                                        option ->
                                                weightedTime(option)
                                                                .compareTo(
                                                                        completionTime(
                                                                                busy.get(), model))
                                                        > 0)
                                .orElse(true);
        if (best.isPresent() && !waitForBusy) {
            mWaits.put(demand.model(), best.get().totalTime().plus(ORDER_TIME));
            boolean copyExists = busy.isPresent() && best.get().fromStore();
            orderFirstStep(
                    best.get(),
                    copyExists ? "waiting calls, all copies on busy engines" : "waiting calls");
            return;
        }
        if (busy.isPresent()) {
            Duration expected = completionTime(busy.get(), model);
            mBusyTimes.put(busy.get().instance(), expected);
            mWaits.put(demand.model(), expected.plus(ORDER_TIME));
        } else if (!mEngines.isEmpty()) {
            mQueuedStoreLoads++;
            long rounds = 1 + (mQueuedStoreLoads + mMaxStoreLoads - 1) / mMaxStoreLoads;
            mWaits.put(demand.model(), model.storeLoadTime().multipliedBy(rounds));
        }
    }

    /** Returns the time of the option, weighted by the engine time that a copy saves. */
    private static Duration weightedTime(LoadOption option) {
        return option.fromStore()
                ? option.totalTime().multipliedBy(STORE_LOAD_WEIGHT)
                : option.totalTime();
    }

    /** Returns the busy engine with a local copy of the weights that can load them earliest. */
    private Optional<EngineState> earliestBusyEngineWithCopy(ModelProfile model) {
        return mEngines.stream()
                .filter(engine -> WeightCopies.source(engine, model) != WeightSource.STORE)
                .filter(engine -> !engine.canAcceptOrder() || mOrdered.contains(engine.instance()))
                .min(Comparator.comparing(engine -> completionTime(engine, model)));
    }

    /** Returns the time until a busy engine has loaded the model after the loads planned before. */
    private Duration completionTime(EngineState engine, ModelProfile model) {
        Duration before = mBusyTimes.getOrDefault(engine.instance(), engine.busyFor());
        return before.plus(ORDER_TIME).plus(WeightCopies.loadTime(engine, model));
    }

    private void planAdapter(LoadDemand demand, List<EngineState> enginesWithModel) {
        mWaits.put(demand.model(), AdapterPlacement.ADAPTER_ORDER_TIME.multipliedBy(2));
        boolean loading =
                enginesWithModel.stream()
                        .anyMatch(
                                engine ->
                                        engine.loading()
                                                .equals(Optional.of(demand.model().toString())));
        if (loading) {
            return;
        }
        Optional<EngineState> selected =
                enginesWithModel.stream()
                        .filter(
                                engine ->
                                        engine.canAcceptOrder()
                                                && !mOrdered.contains(engine.instance()))
                        .filter(
                                engine ->
                                        mEviction.hasRoomForAdapter(engine, demand.model().model()))
                        .min(Comparator.comparingInt(EngineState::activeCalls));
        if (selected.isEmpty()) {
            enginesWithModel.stream()
                    .map(EngineState::busyFor)
                    .min(Comparator.naturalOrder())
                    .ifPresent(wait -> mWaits.put(demand.model(), wait.plus(ORDER_TIME)));
            return;
        }
        mOrdered.add(selected.get().instance());
        mAdapterPlacement.nextOrder(selected.get(), demand.model()).ifPresent(mOrders::add);
    }

    /** Replicates busy models if that requires no costly eviction. */
    private void replicateBusyModels() {
        Map<String, Integer> replicas = replicas();
        Map<String, Integer> running = runningCalls();
        Map<String, Integer> targets = new HashMap<>();
        for (String name : mProfile.models().keySet()) {
            int target =
                    Math.min(mEngines.size(), targetReplicas(name, running.getOrDefault(name, 0)));
            if (target > 1) {
                targets.put(name, target);
            }
        }
        List<String> busy =
                targets.keySet().stream()
                        .sorted(
                                Comparator.comparingDouble(
                                                (String name) ->
                                                        -mHistory.urgentRate(name, mNowNanos))
                                        .thenComparing(name -> -running.getOrDefault(name, 0))
                                        .thenComparing(Comparator.naturalOrder()))
                        .toList();
        int modelCapacity = Math.max(1, mEngines.size()) * modelsPerEngine();
        int replicaCount = busy.stream().mapToInt(name -> replicas.getOrDefault(name, 0)).sum();
        for (String name : busy) {
            boolean missing = replicas.getOrDefault(name, 0) < targets.getOrDefault(name, 0);
            if (missing && replicaCount < modelCapacity * MAX_REPLICA_FRACTION) {
                ModelProfile model = mProfile.models().get(name);
                if (model != null && orderReplica(model)) {
                    replicaCount++;
                }
            }
        }
    }

    /** Returns the desired number of replicas of a model. */
    private int targetReplicas(String name, int running) {
        int byRunningCalls =
                (int) Math.ceil(running / (mProfile.requestSlots() * REPLICA_SLOT_FRACTION));
        double rate = mHistory.urgentRate(name, mNowNanos);
        return rate < REPLICATION_RATE
                ? byRunningCalls
                : Math.max(byRunningCalls, Math.max(2, (int) Math.ceil(rate / CALLS_PER_REPLICA)));
    }

    private Map<String, Integer> runningCalls() {
        Map<String, Integer> running = new HashMap<>();
        for (EngineState engine : mEngines) {
            engine.running().forEach((name, calls) -> running.merge(name, calls, Integer::sum));
        }
        return running;
    }

    private boolean orderReplica(ModelProfile model) {
        Optional<LoadOption> best =
                bestOption(model, MAX_EVICTION_COST_MILLIS).filter(option -> !option.fromStore());
        best.ifPresent(option -> orderFirstStep(option, "replica of a busy model"));
        return best.isPresent();
    }

    /** Loads models that no server has loaded or cached while the weight store is idle. */
    private void preloadUncachedModels() {
        boolean receivesCalls = mHistory.totalRate(mNowNanos) > MAX_IDLE_RATE;
        if (receivesCalls && mStoreBudget < mMaxStoreLoads) {
            return;
        }
        for (ModelProfile model : mProfile.models().values()) {
            if (mStoreBudget <= 0 || (receivesCalls && mStoreBudget < mMaxStoreLoads)) {
                return;
            }
            boolean cached = WeightCopies.anyCopy(mEngines, model);
            if (!cached && availableEngineCount() > mEngines.size() / 2) {
                bestOption(model, MAX_EVICTION_COST_MILLIS)
                        .ifPresent(option -> orderFirstStep(option, "weights not cached"));
            }
        }
    }

    private long availableEngineCount() {
        return mEngines.stream()
                .filter(engine -> engine.canAcceptOrder() && !mOrdered.contains(engine.instance()))
                .count();
    }

    private Optional<LoadOption> bestOption(ModelProfile model, double maxEvictionCost) {
        LoadOption best = null;
        for (EngineState engine : mEngines) {
            if (!engine.canAcceptOrder()
                    || mOrdered.contains(engine.instance())
                    || engine.isLoadedOrLoading(model.name())) {
                continue;
            }
            boolean fromStore = WeightCopies.source(engine, model) == WeightSource.STORE;
            if (fromStore && mStoreBudget <= 0) {
                continue;
            }
            Optional<List<String>> unloads = mEviction.modelsToUnload(engine, model);
            if (unloads.isEmpty()) {
                continue;
            }
            double evictionCost =
                    unloads.get().stream()
                            .mapToDouble(name -> mEviction.evictionCost(engine, name))
                            .sum();
            if (evictionCost > maxEvictionCost) {
                continue;
            }
            Duration totalTime =
                    mEviction
                            .unloadTime(engine, unloads.get())
                            .plus(WeightCopies.loadTime(engine, model));
            double cost =
                    totalTime.toMillis()
                            + evictionCost
                            + mBlockingCost.millis(engine, totalTime)
                            + engine.activeCalls() * ACTIVE_CALL_COST_MILLIS;
            if (best == null || cost < best.cost()) {
                best = new LoadOption(engine, model, unloads.get(), totalTime, cost, fromStore);
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Adds the next order of an option: an unload if memory has to be freed, otherwise the load.
     */
    private void orderFirstStep(LoadOption option, String reason) {
        mOrdered.add(option.engine().instance());
        mBusyTimes.put(option.engine().instance(), option.totalTime());
        if (option.fromStore()) {
            mStoreBudget--;
        }
        boolean unload = !option.modelsToUnload().isEmpty();
        mOrders.add(
                new PlannedOrder(
                        option.engine().instance(),
                        unload ? OrderKind.UNLOAD : OrderKind.LOAD,
                        unload ? option.modelsToUnload().get(0) : option.model().name(),
                        Optional.empty(),
                        option.model().name(),
                        unload
                                ? mEviction.unloadTime(option.engine(), option.modelsToUnload())
                                : WeightCopies.loadTime(option.engine(), option.model()),
                        !unload && option.fromStore(),
                        unload ? "evicted to load " + option.model().name() : reason));
    }

    private Map<String, Integer> replicas() {
        Map<String, Integer> replicas = new HashMap<>();
        for (EngineState engine : mEngines) {
            engine.modelState()
                    .loaded()
                    .keySet()
                    .forEach(name -> replicas.merge(name, 1, Integer::sum));
            engine.loading().ifPresent(name -> replicas.merge(name, 1, Integer::sum));
        }
        return replicas;
    }

    private int modelsPerEngine() {
        double largest =
                mProfile.models().values().stream()
                        .mapToDouble(ModelProfile::weightsMegabytes)
                        .max()
                        .orElse(1);
        return Math.max(1, (int) (mProfile.weightsMegabytes() / Math.max(1, largest)));
    }
}
