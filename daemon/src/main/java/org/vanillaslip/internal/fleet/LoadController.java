package org.vanillaslip.internal.fleet;

import static org.vanillaslip.internal.logging.LogField.field;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;
import org.vanillaslip.internal.serving.ServicePool;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.ModelDemand;
import reactor.core.Disposable;

/** Plans and sends orders while this host holds the lease; used on the decision loop only. */
public final class LoadController {

    /** Planning follows each event, and happens at least this often. */
    private static final Duration TICK = Duration.ofMillis(250);

    /** Events that come together are planned together. */
    private static final Duration GATHER = Duration.ofMillis(3);

    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    /** A report lags, so an order without an answer is open until reports are newer than it. */
    private static final Duration UNKNOWN_FOR = Duration.ofMillis(700);

    /** A report may be this old, so one that comes sooner after an order may not count it. */
    private static final Duration REPORT_LAG = Duration.ofMillis(500);

    /** An accepted order that reports never show as done is looked at anew. */
    private static final Duration OVERDUE = Duration.ofSeconds(20);

    /** An unload of a model without running calls is done within this time. */
    private static final Duration UNLOAD_TIME = Duration.ofMillis(40);

    /** A load from disk or memory takes its usual time; a little more for the way of the order. */
    private static final Duration LOAD_MARGIN = Duration.ofMillis(30);

    private static final Duration ADAPTER_TIME = Duration.ofMillis(25);

    /** Demand of a host that has not reported for this long is gone. */
    private static final Duration DEMAND_AGE = Duration.ofMillis(1500);

    private final String mHost;
    private final FleetLease mLease;
    private final FleetDirectory mDirectory;
    private final PlanView mPlans;
    private final EngineControl mEngines;
    private final int mStoreLoads;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final Map<String, DemandHistory> mHistories = new HashMap<>();
    private final Map<String, HostDemand> mDemands = new HashMap<>();
    private final Map<String, PendingOrder> mPending = new HashMap<>();
    private final Map<String, PendingOrder> mAssumed = new HashMap<>();
    private final Map<String, Long> mAskedAt = new HashMap<>();
    private final Map<String, Long> mOrderedAt = new HashMap<>();
    private final Set<String> mReported = new HashSet<>();
    private final Map<String, Disposable> mPolls = new HashMap<>();
    private final Set<String> mReporting = new HashSet<>();
    private BiConsumer<CallTarget, Optional<Duration>> mForecasts = (target, expected) -> {};
    private boolean mPlanning;

    /**
     * Creates a controller that sends nothing until its host holds the lease.
     *
     * @param storeLoads loads that the weight store serves at full speed at once
     */
    public LoadController(
            String host,
            FleetLease lease,
            FleetDirectory directory,
            PlanView plans,
            EngineControl engines,
            int storeLoads,
            DecisionLoop loop,
            EventLog log) {
        mHost = host;
        mLease = lease;
        mDirectory = directory;
        mPlans = plans;
        mEngines = engines;
        mStoreLoads = storeLoads;
        mLoop = loop;
        mLog = log;
    }

    /** Registers a listener for the time at which a wanted model is expected, if it is planned. */
    public void onForecast(BiConsumer<CallTarget, Optional<Duration>> listener) {
        mForecasts = listener;
    }

    /** Starts planning. */
    public void start() {
        long period = TICK.toNanos();
        mLoop.scheduler().schedulePeriodically(this::tick, period, period, TimeUnit.NANOSECONDS);
        mLease.onTaken(this::taken);
    }

    /** Takes over the demand of a host. */
    public void demand(String host, DemandReport report) {
        long now = now();
        mDemands.put(host, new HostDemand(report, now));
        for (ModelDemand demand : report.getModelsList()) {
            if (demand.getArrivals() > 0) {
                history(demand.getPool())
                        .note(demand.getModel(), demand.getArrivals(), urgent(demand), now);
            }
        }
        planSoon();
    }

    private boolean urgent(ModelDemand demand) {
        Optional<ModelProfile> model =
                profile(demand.getPool())
                        .flatMap(
                                found ->
                                        Optional.ofNullable(found.models().get(demand.getModel())));
        return model.map(found -> demand.getObjectiveMillis() < found.fromDisk().toMillis())
                .orElse(false);
    }

    private void taken() {
        mPending.clear();
        mAssumed.clear();
        mAskedAt.clear();
        mReported.clear();
        // Models that stand on several servers are busy, as far as this host can know.
        long now = now();
        for (String pool : enginePools()) {
            Map<String, Integer> replicas = new HashMap<>();
            mDirectory
                    .inService(pool)
                    .forEach(
                            member ->
                                    member.stock()
                                            .loaded()
                                            .keySet()
                                            .forEach(
                                                    name -> replicas.merge(name, 1, Integer::sum)));
            replicas.forEach(
                    (name, count) -> {
                        if (count > 1) {
                            history(pool).note(name, count, true, now);
                        }
                    });
        }
        tick();
    }

    private void tick() {
        if (!mLease.held()) {
            mPending.clear();
            return;
        }
        long now = now();
        mPending.keySet().removeIf(instance -> mDirectory.member(instance).isEmpty());
        mDemands.values().removeIf(demand -> now - demand.receivedNanos() > DEMAND_AGE.toNanos());
        for (String pool : enginePools()) {
            for (FleetMember member : mDirectory.inService(pool)) {
                long asked = mAskedAt.getOrDefault(member.instance(), Long.MIN_VALUE / 2);
                if (now - asked >= REPORT_INTERVAL.toNanos()) {
                    report(member);
                }
            }
        }
        plan();
    }

    private void planSoon() {
        if (!mPlanning && mLease.held()) {
            mPlanning = true;
            mLoop.scheduler().schedule(this::plan, GATHER.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void plan() {
        mPlanning = false;
        if (!mLease.mayOrder()) {
            return;
        }
        for (String pool : enginePools()) {
            profile(pool).ifPresent(found -> plan(pool, found));
        }
    }

    private void plan(String pool, EngineProfile profile) {
        Map<ModelName, ModelWish> wishes = wishes(pool);
        int loading =
                (int)
                        mPending.values().stream()
                                .filter(pending -> pending.order().fromStore())
                                .count();
        LoadPlan plan =
                LoadPlanner.plan(
                        profile,
                        history(pool),
                        engines(pool),
                        wishes.values(),
                        mStoreLoads,
                        mStoreLoads - loading,
                        now());
        plan.orders().forEach(this::give);
        wishes.keySet()
                .forEach(
                        model ->
                                mForecasts.accept(
                                        new CallTarget(pool, Optional.of(model)),
                                        Optional.ofNullable(plan.expected().get(model))));
    }

    private Map<ModelName, ModelWish> wishes(String pool) {
        long now = now();
        Map<ModelName, ModelWish> wishes = new HashMap<>();
        for (HostDemand demand : mDemands.values()) {
            long age = (now - demand.receivedNanos()) / 1_000_000;
            for (ModelDemand model : demand.report().getModelsList()) {
                if (model.getWaiting() > 0 && model.getPool().equals(pool)) {
                    ModelWish wish = wish(model, age);
                    wishes.merge(wish.model(), wish, ModelWish::with);
                }
            }
        }
        // A load that ended after the report was written has met the wish.
        wishes.keySet().removeIf(name -> heldSomewhere(pool, name, now));
        return wishes;
    }

    private boolean heldSomewhere(String pool, ModelName name, long nowNanos) {
        return mDirectory.inService(pool).stream().anyMatch(member -> member.holds(name, nowNanos));
    }

    private static ModelWish wish(ModelDemand demand, long ageMillis) {
        Optional<String> adapter =
                demand.getAdapter().isEmpty() ? Optional.empty() : Optional.of(demand.getAdapter());
        return new ModelWish(
                new ModelName(demand.getModel(), adapter),
                demand.getWaiting(),
                Duration.ofMillis(demand.getObjectiveLeftMillis() - ageMillis),
                Duration.ofMillis(demand.getDeadlineLeftMillis() - ageMillis),
                demand.getPriority());
    }

    private List<EngineState> engines(String pool) {
        long now = now();
        Map<String, Map<String, Integer>> running = running();
        List<EngineState> engines = new ArrayList<>();
        for (FleetMember member : mDirectory.inService(pool)) {
            PendingOrder pending = mPending.get(member.instance());
            boolean reported = mReported.contains(member.instance());
            if (!reported || !member.health().usable(now)) {
                continue;
            }
            Duration busy =
                    pending == null
                            ? Duration.ZERO
                            : Duration.ofNanos(Math.max(1, pending.doneNanos() - now));
            engines.add(
                    new EngineState(
                            member.instance(),
                            member.registered().failureDomain(),
                            member.stock(),
                            running.getOrDefault(member.instance(), Map.of()),
                            member.inUse(),
                            busy,
                            Optional.ofNullable(pending).map(order -> order.order().purpose())));
        }
        return engines;
    }

    private Map<String, Map<String, Integer>> running() {
        Map<String, Map<String, Integer>> running = new HashMap<>();
        mDemands.values()
                .forEach(
                        demand ->
                                demand.report()
                                        .getRunningList()
                                        .forEach(
                                                calls ->
                                                        running.computeIfAbsent(
                                                                        calls.getServer(),
                                                                        name -> new HashMap<>())
                                                                .merge(
                                                                        calls.getModel(),
                                                                        calls.getCount(),
                                                                        Integer::sum)));
        return running;
    }

    private void give(PlannedOrder planned) {
        FleetMember member = mDirectory.member(planned.instance()).orElseThrow();
        long now = now();
        EngineOrder order =
                new EngineOrder(
                        planned.kind(),
                        planned.model(),
                        planned.adapter(),
                        member.stock().orderCount(),
                        mHost,
                        mLease.term());
        mLog.log(
                FleetEvent.ORDER_SENT,
                field("server", planned.instance()),
                field("kind", planned.kind()),
                field("model", planned.model()),
                field("adapter", planned.adapter().orElse("")),
                field("expected_orders", order.expectedOrders()),
                field("term", order.term()),
                field("from_store", planned.fromStore()),
                field("reason", planned.reason()));
        mOrderedAt.put(planned.instance(), now);
        mPending.put(
                planned.instance(),
                new PendingOrder(planned, now, now + planned.takes().toNanos(), false));
        if (planned.kind() == OrderKind.UNLOAD) {
            // No new call goes to what is about to make way.
            member.setStock(StockChange.applied(member.stock(), planned, 0));
            mDirectory.changed();
        }
        if (!mLease.mayOrder()) {
            mPending.remove(planned.instance());
            return;
        }
        mEngines.order(member.registered(), order)
                .publishOn(mLoop.scheduler())
                .subscribe(
                        answer -> answered(member, planned, answer),
                        error -> answered(member, planned, OrderAnswer.UNKNOWN));
    }

    private void answered(FleetMember member, PlannedOrder planned, OrderAnswer answer) {
        String instance = planned.instance();
        PendingOrder pending = mPending.get(instance);
        if (pending == null || pending.order() != planned) {
            return;
        }
        boolean failed = answer != OrderAnswer.ACCEPTED && answer != OrderAnswer.ALREADY;
        mLog.log(
                failed ? FleetEvent.ORDER_FAILED : FleetEvent.ORDER_ANSWERED,
                field("server", instance),
                field("model", planned.model()),
                field("answer", answer));
        switch (answer) {
            case ACCEPTED -> accepted(member, pending);
            case ALREADY -> {
                mPending.remove(instance);
                if (planned.adapter().isPresent()) {
                    // An unused adapter is unloaded at once, which counts as an order.
                    adapterDone(member, planned, planned.kind() == OrderKind.UNLOAD ? 1 : 0);
                }
                pollLater(member, POLL_INTERVAL);
            }
            case REFUSED -> refused(member, planned);
            case OTHER_SERVER -> {
                mPending.remove(instance);
                member.replaced();
                mDirectory.changed();
            }
            case UNREACHED -> {
                mPending.remove(instance);
                member.health().unreachable(now());
                mReported.remove(instance);
            }
            case UNKNOWN -> pollLater(member, POLL_INTERVAL);
        }
        planSoon();
    }

    private void accepted(FleetMember member, PendingOrder pending) {
        PlannedOrder planned = pending.order();
        long now = now();
        mAssumed.remove(planned.instance());
        mPending.put(planned.instance(), pending.asAccepted(now));
        if (planned.adapter().isPresent()) {
            // Adapter orders do not occupy the engine, and reports of them lag behind their end.
            mLoop.scheduler()
                    .schedule(
                            () -> adapterDone(member, planned, 1),
                            planned.kind() == OrderKind.LOAD ? ADAPTER_TIME.toNanos() : 0,
                            TimeUnit.NANOSECONDS);
            return;
        }
        ServerStock stock = member.stock();
        member.setStock(StockChange.accepted(stock, planned));
        if (planned.fromStore()) {
            // Loads from the store share its speed, so only a report tells when one is done.
            pollLater(member, planned.takes().plus(POLL_INTERVAL));
            return;
        }
        boolean unload = planned.kind() == OrderKind.UNLOAD;
        Duration takes = unload ? UNLOAD_TIME : planned.takes().plus(LOAD_MARGIN);
        mLoop.scheduler()
                .schedule(() -> assumeDone(member, planned), takes.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Reports lag, so calls and the next order are tried before one shows the end of an order. */
    private void assumeDone(FleetMember member, PlannedOrder planned) {
        PendingOrder pending = mPending.get(planned.instance());
        if (pending == null || pending.order() != planned) {
            return;
        }
        mPending.remove(planned.instance());
        mAssumed.put(planned.instance(), pending);
        ServerStock stock =
                planned.kind() == OrderKind.LOAD
                        ? StockChange.applied(member.stock(), planned, 0)
                        : member.stock();
        member.setStock(StockChange.idle(stock));
        mLog.log(
                FleetEvent.LOAD_FINISHED,
                field("server", planned.instance()),
                field("kind", planned.kind()),
                field("model", planned.model()),
                field("assumed", true),
                field("took_ms", (now() - pending.sentNanos()) / 1_000_000));
        mDirectory.changed();
        planSoon();
    }

    private void refused(FleetMember member, PlannedOrder planned) {
        PendingOrder assumed = mAssumed.remove(planned.instance());
        if (assumed != null) {
            // The unload still waits for calls that run on the model.
            mPending.put(planned.instance(), assumed);
            pollLater(member, POLL_INTERVAL);
            return;
        }
        // What is known of the server is wrong, so a report that is newer than all orders decides.
        mPending.remove(planned.instance());
        mReported.remove(planned.instance());
        pollLater(member, REPORT_LAG.plus(POLL_INTERVAL));
    }

    private void adapterDone(FleetMember member, PlannedOrder planned, int orders) {
        mPending.remove(planned.instance());
        member.setStock(StockChange.applied(member.stock(), planned, orders));
        mDirectory.changed();
        planSoon();
    }

    /** Asks the server for a report after the delay, in place of an earlier plan to do so. */
    private void pollLater(FleetMember member, Duration delay) {
        Disposable poll =
                mLoop.scheduler()
                        .schedule(
                                () -> {
                                    if (mLease.held()) {
                                        report(member);
                                    }
                                },
                                delay.toNanos(),
                                TimeUnit.NANOSECONDS);
        Disposable before = mPolls.put(member.instance(), poll);
        if (before != null) {
            before.dispose();
        }
    }

    private void report(FleetMember member) {
        if (!mReporting.add(member.instance())) {
            return;
        }
        mAskedAt.put(member.instance(), now());
        mEngines.report(member.registered())
                .publishOn(mLoop.scheduler())
                .subscribe(
                        result -> reported(member, result),
                        error -> reported(member, Either.left(error.toString())));
    }

    private void reported(FleetMember member, Either<String, ServerLoadReport> result) {
        String instance = member.instance();
        mReporting.remove(instance);
        if (result.isLeft()) {
            mLog.log(
                    FleetEvent.REPORT_FAILED,
                    field("server", instance),
                    field("cause", result.getLeft()));
            member.health().unreachable(now());
            return;
        }
        ServerLoadReport report = result.get();
        PendingOrder pending = mPending.get(instance);
        long ordered = mOrderedAt.getOrDefault(instance, Long.MIN_VALUE / 2);
        boolean newer = now() - ordered > REPORT_LAG.toNanos();
        if (newer) {
            mReported.add(instance);
        }
        mDirectory.report(instance, member.registered().bornMillis(), report, newer);
        if (pending != null) {
            settle(member, pending, report);
        }
        planSoon();
    }

    private void settle(FleetMember member, PendingOrder pending, ServerLoadReport report) {
        long now = now();
        boolean current = report.stock().orderCount() >= member.stock().orderCount();
        if (pending.order().adapter().isPresent() && pending.accepted()) {
            return;
        }
        if (!pending.accepted()) {
            if (now - pending.sentNanos() > UNKNOWN_FOR.toNanos()) {
                mPending.remove(member.instance());
            } else {
                pollLater(member, POLL_INTERVAL);
            }
            return;
        }
        boolean done = current && !report.stock().ordered() && shows(report.stock(), pending);
        if (done || now - pending.doneNanos() > OVERDUE.toNanos()) {
            mPending.remove(member.instance());
            mLog.log(
                    FleetEvent.LOAD_FINISHED,
                    field("server", member.instance()),
                    field("kind", pending.order().kind()),
                    field("model", pending.order().model()),
                    field("took_ms", (now - pending.sentNanos()) / 1_000_000));
        } else {
            long left = pending.doneNanos() - now;
            pollLater(member, POLL_INTERVAL.plusNanos(Math.max(0, left)));
        }
    }

    private static boolean shows(ServerStock stock, PendingOrder pending) {
        boolean loaded = stock.loaded().containsKey(pending.order().model());
        return loaded == (pending.order().kind() == OrderKind.LOAD);
    }

    private DemandHistory history(String pool) {
        return mHistories.computeIfAbsent(pool, name -> new DemandHistory());
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

    private Optional<EngineProfile> profile(String pool) {
        return mPlans.current()
                .flatMap(plan -> Optional.ofNullable(plan.pools().get(pool)))
                .flatMap(ServicePool::engine);
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
