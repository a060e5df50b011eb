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
 * Decides loads and unloads of one pool. Models that callers wait for come first, in the order in
 * which their callers become late; then copies of busy models; then weights that no server has.
 */
public final class LoadPlanner {

    /** Time of an order that needs no weights, with the lag of the report that shows its end. */
    static final Duration ORDER_TIME = Duration.ofMillis(120);

    /** An engine in use is a little worse for a load than an idle one. */
    private static final double IN_USE_MILLIS = 4;

    /** A copy of a busy model is not worth more than this loss elsewhere. */
    private static final double COPY_LOSS_MILLIS = 450;

    /** Urgent calls per second from which a model is kept on two servers. */
    private static final double BUSY_RATE = 0.25;

    /** Urgent calls that one copy serves per second. */
    private static final double CALLS_PER_COPY = 12;

    /** Part of a server's places that calls of one model take before it gets another copy. */
    private static final double COPY_LOAD = 0.4;

    /** Calls per second above which only one load at a time seeds disks. */
    private static final double QUIET_RATE = 0.5;

    /** Copies of busy models may fill this part of all places. */
    private static final double COPIES_PART = 0.6;

    private static final Comparator<LoadDemand> URGENCY =
            Comparator.comparing((LoadDemand wish) -> wish.objectiveLeft().isNegative())
                    .thenComparing(LoadDemand::priority)
                    .thenComparing(LoadDemand::objectiveLeft);

    private final EngineProfile mProfile;
    private final DemandHistory mHistory;
    private final List<EngineState> mEngines;
    private final int mStoreLoads;
    private final long mNowNanos;
    private final AdapterPlacement mAdapters;
    private final EvictionSelector mVictims;
    private final Set<String> mUsed = new HashSet<>();
    private final List<PlannedOrder> mOrders = new ArrayList<>();
    private final Map<ModelName, Duration> mExpected = new HashMap<>();
    private final Map<String, Duration> mLater = new HashMap<>();
    private int mStoreFree;
    private int mStoreQueue;

    private LoadPlanner(
            EngineProfile profile,
            DemandHistory history,
            List<EngineState> engines,
            Collection<LoadDemand> wishes,
            int storeLoads,
            int storeFree,
            long nowNanos) {
        mProfile = profile;
        mHistory = history;
        mEngines = engines;
        mStoreLoads = Math.max(1, storeLoads);
        mStoreFree = storeFree;
        mNowNanos = nowNanos;
        Set<String> wanted =
                wishes.stream().map(wish -> wish.model().model()).collect(Collectors.toSet());
        mAdapters =
                new AdapterPlacement(
                        profile,
                        history,
                        wishes.stream().map(LoadDemand::model).collect(Collectors.toSet()));
        mVictims = new EvictionSelector(profile, history, replicas(), wanted, nowNanos);
    }

    /**
     * Returns the orders to give now.
     *
     * @param storeLoads loads that the weight store serves at full speed at once
     * @param storeFree how many more of them may begin now
     */
    public static LoadPlan plan(
            EngineProfile profile,
            DemandHistory history,
            List<EngineState> engines,
            Collection<LoadDemand> wishes,
            int storeLoads,
            int storeFree,
            long nowNanos) {
        LoadPlanner planner =
                new LoadPlanner(profile, history, engines, wishes, storeLoads, storeFree, nowNanos);
        wishes.stream().sorted(URGENCY).forEach(planner::serve);
        planner.copyBusyModels();
        if (wishes.isEmpty()) {
            planner.seedDisks();
        }
        return new LoadPlan(planner.mOrders, planner.mExpected);
    }

    private void serve(LoadDemand wish) {
        ModelProfile model = mProfile.models().get(wish.model().model());
        if (model == null) {
            return;
        }
        List<EngineState> holders =
                mEngines.stream()
                        .filter(engine -> engine.modelState().loaded().containsKey(model.name()))
                        .toList();
        if (!holders.isEmpty()) {
            if (wish.model().adapter().isPresent()) {
                loadAdapter(wish, holders);
            }
            return;
        }
        Optional<EngineState> loading =
                mEngines.stream()
                        .filter(engine -> engine.isLoadedOrLoading(model.name()))
                        .findFirst();
        if (loading.isPresent()) {
            mExpected.put(wish.model(), loading.get().busyFor().plus(ORDER_TIME));
            return;
        }
        Optional<LoadOption> best = best(model, Double.MAX_VALUE);
        Optional<EngineState> copy = soonestCopy(model);
        boolean waits =
                copy.isPresent()
                        && best.map(
                                        option ->
                                                option.total().compareTo(later(copy.get(), model))
                                                        > 0)
                                .orElse(true);
        if (best.isPresent() && !waits) {
            mExpected.put(wish.model(), best.get().total().plus(ORDER_TIME));
            give(best.get(), "calls wait");
            return;
        }
        if (copy.isPresent()) {
            Duration expected = later(copy.get(), model);
            mLater.put(copy.get().instance(), expected);
            mExpected.put(wish.model(), expected.plus(ORDER_TIME));
        } else if (!mEngines.isEmpty()) {
            mStoreQueue++;
            long rounds = 1 + (mStoreQueue + mStoreLoads - 1) / mStoreLoads;
            mExpected.put(wish.model(), model.storeLoadTime().multipliedBy(rounds));
        }
    }

    /** Returns the engine with a copy of the weights that can load them first, if it is busy. */
    private Optional<EngineState> soonestCopy(ModelProfile model) {
        return mEngines.stream()
                .filter(engine -> source(engine, model) != WeightSource.STORE)
                .filter(engine -> !engine.canAcceptOrder() || mUsed.contains(engine.instance()))
                .min(Comparator.comparing(engine -> later(engine, model)));
    }

    /** Returns when a busy engine will have loaded the model, after what waits for it already. */
    private Duration later(EngineState engine, ModelProfile model) {
        Duration before = mLater.getOrDefault(engine.instance(), engine.busyFor());
        return before.plus(ORDER_TIME).plus(time(engine, model));
    }

    private void loadAdapter(LoadDemand wish, List<EngineState> holders) {
        mExpected.put(wish.model(), AdapterPlacement.ORDER_TIME.multipliedBy(2));
        boolean loading =
                holders.stream()
                        .anyMatch(
                                holder ->
                                        holder.loading()
                                                .equals(Optional.of(wish.model().toString())));
        if (loading) {
            return;
        }
        Optional<EngineState> engine =
                holders.stream()
                        .filter(
                                holder ->
                                        holder.canAcceptOrder()
                                                && !mUsed.contains(holder.instance()))
                        .filter(holder -> mVictims.hasRoomForAdapter(holder, wish.model().model()))
                        .min(Comparator.comparingInt(EngineState::activeCalls));
        if (engine.isEmpty()) {
            holders.stream()
                    .map(EngineState::busyFor)
                    .min(Comparator.naturalOrder())
                    .ifPresent(wait -> mExpected.put(wish.model(), wait.plus(ORDER_TIME)));
            return;
        }
        mUsed.add(engine.get().instance());
        mAdapters.next(engine.get(), wish.model()).ifPresent(mOrders::add);
    }

    /** Keeps busy models on more than one server, as far as nothing else is lost by that. */
    private void copyBusyModels() {
        Map<String, Integer> replicas = replicas();
        Map<String, Integer> running = running();
        Map<String, Integer> targets = new HashMap<>();
        for (String name : mProfile.models().keySet()) {
            int target = Math.min(mEngines.size(), copies(name, running.getOrDefault(name, 0)));
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
        int places = Math.max(1, mEngines.size()) * placesOfOne();
        int copies = busy.stream().mapToInt(name -> replicas.getOrDefault(name, 0)).sum();
        for (String name : busy) {
            boolean missing = replicas.getOrDefault(name, 0) < targets.getOrDefault(name, 0);
            if (missing && copies < places * COPIES_PART) {
                ModelProfile model = mProfile.models().get(name);
                if (model != null && copy(model)) {
                    copies++;
                }
            }
        }
    }

    /** Returns on how many servers the model is to stand. */
    private int copies(String name, int running) {
        int byLoad = (int) Math.ceil(running / (mProfile.requestSlots() * COPY_LOAD));
        double rate = mHistory.urgentRate(name, mNowNanos);
        return rate < BUSY_RATE
                ? byLoad
                : Math.max(byLoad, Math.max(2, (int) Math.ceil(rate / CALLS_PER_COPY)));
    }

    private Map<String, Integer> running() {
        Map<String, Integer> running = new HashMap<>();
        for (EngineState engine : mEngines) {
            engine.running().forEach((name, calls) -> running.merge(name, calls, Integer::sum));
        }
        return running;
    }

    private boolean copy(ModelProfile model) {
        Optional<LoadOption> best =
                best(model, COPY_LOSS_MILLIS).filter(option -> !option.fromStore());
        best.ifPresent(option -> give(option, "busy model"));
        return best.isPresent();
    }

    /** Uses the idle weight store for models that no server has on its disk. */
    private void seedDisks() {
        boolean calls = mHistory.totalRate(mNowNanos) > QUIET_RATE;
        if (calls && mStoreFree < mStoreLoads) {
            return;
        }
        for (ModelProfile model : mProfile.models().values()) {
            if (mStoreFree <= 0 || (calls && mStoreFree < mStoreLoads)) {
                return;
            }
            boolean copied =
                    mEngines.stream()
                            .anyMatch(
                                    engine ->
                                            engine.isLoadedOrLoading(model.name())
                                                    || source(engine, model) != WeightSource.STORE);
            if (!copied && freeEngines() > mEngines.size() / 2) {
                best(model, COPY_LOSS_MILLIS).ifPresent(option -> give(option, "no copy"));
            }
        }
    }

    private long freeEngines() {
        return mEngines.stream()
                .filter(engine -> engine.canAcceptOrder() && !mUsed.contains(engine.instance()))
                .count();
    }

    private Optional<LoadOption> best(ModelProfile model, double mostLoss) {
        LoadOption best = null;
        for (EngineState engine : mEngines) {
            if (!engine.canAcceptOrder()
                    || mUsed.contains(engine.instance())
                    || engine.isLoadedOrLoading(model.name())) {
                continue;
            }
            boolean fromStore = source(engine, model) == WeightSource.STORE;
            if (fromStore && mStoreFree <= 0) {
                continue;
            }
            Optional<List<String>> victims = mVictims.victims(engine, model);
            if (victims.isEmpty()) {
                continue;
            }
            double loss =
                    victims.get().stream().mapToDouble(name -> mVictims.loss(engine, name)).sum();
            if (loss > mostLoss) {
                continue;
            }
            Duration total = mVictims.unloadTime(engine, victims.get()).plus(time(engine, model));
            double cost = total.toMillis() + loss + engine.activeCalls() * IN_USE_MILLIS;
            if (best == null || cost < best.cost()) {
                best = new LoadOption(engine, model, victims.get(), total, cost, fromStore);
            }
        }
        return Optional.ofNullable(best);
    }

    /** Orders the first step: an unload while something has to make way, then the load. */
    private void give(LoadOption option, String reason) {
        mUsed.add(option.engine().instance());
        mLater.put(option.engine().instance(), option.total());
        if (option.fromStore()) {
            mStoreFree--;
        }
        boolean unload = !option.victims().isEmpty();
        mOrders.add(
                new PlannedOrder(
                        option.engine().instance(),
                        unload ? OrderKind.UNLOAD : OrderKind.LOAD,
                        unload ? option.victims().get(0) : option.model().name(),
                        Optional.empty(),
                        option.model().name(),
                        unload
                                ? mVictims.unloadTime(option.engine(), option.victims())
                                : time(option.engine(), option.model()),
                        !unload && option.fromStore(),
                        unload ? "makes way for " + option.model().name() : reason));
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

    private int placesOfOne() {
        double largest =
                mProfile.models().values().stream()
                        .mapToDouble(ModelProfile::weightsMegabytes)
                        .max()
                        .orElse(1);
        return Math.max(1, (int) (mProfile.weightsMegabytes() / Math.max(1, largest)));
    }

    private static Duration time(EngineState engine, ModelProfile model) {
        return switch (source(engine, model)) {
            case MEMORY -> model.memoryLoadTime();
            case DISK -> model.diskLoadTime();
            case STORE -> model.storeLoadTime();
        };
    }

    private static WeightSource source(EngineState engine, ModelProfile model) {
        if (engine.modelState().inMemory().contains(model.name())) {
            return WeightSource.MEMORY;
        }
        return engine.modelState().onDisk().contains(model.name())
                ? WeightSource.DISK
                : WeightSource.STORE;
    }
}
