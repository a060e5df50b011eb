package org.vanillaslip.internal.proofs.measures;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.ModelName;
import org.vanillaslip.Refusal;
import org.vanillaslip.internal.placement.Order;
import org.vanillaslip.internal.placement.PlacementStage;
import org.vanillaslip.internal.placement.ServerReport;
import org.vanillaslip.internal.placement.ShardRecord;

/** One failure domain: its entry hosts, its control shard and its model engines. */
final class SimulatedDomain {

    // The daemon polls and ticks more often. Every change here is reported at once, so that more
    // reports would only repeat decisions and make a day too slow to run.
    private static final long POLL_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long TICK_NANOS = Duration.ofSeconds(2).toNanos();

    // Shortest interval at which a waiting request asks for a new estimate.
    private static final long ASK_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long EXCHANGE_NANOS = Duration.ofSeconds(2).toNanos();

    // While an order is open the daemon polls every 20 ms: a change is seen after 10 ms on average.
    private static final long OPEN_POLL_NANOS = Duration.ofMillis(10).toNanos();
    private static final long MESSAGE_NANOS = Duration.ofMillis(1).toNanos();

    // Arrivals of one message that enter the history, as in the daemon.
    private static final int MOST_ARRIVALS = 32;

    private final EventQueue mEvents;
    private final Supplier<Configuration> mConfiguration;
    private final ShardHolder mHolder;
    private final Map<String, SimulatedServer> mServers = new LinkedHashMap<>();
    private final Map<ModelName, List<SimulatedRequest>> mWaiting = new HashMap<>();
    private final List<SimulatedRequest> mRunning = new ArrayList<>();
    private Map<ModelName, Integer> mArrivals = new HashMap<>();
    private ShardRecord mRecord = ShardRecord.EMPTY;
    private boolean mUp = true;
    private int mLife;

    SimulatedDomain(
            EventQueue events,
            RecordStore records,
            WeightStore weights,
            DeploymentSize size,
            String name,
            List<BackendServer> servers,
            Supplier<Configuration> configuration,
            KeepAliveVariant variant) {
        mEvents = events;
        mConfiguration = configuration;
        mHolder =
                new ShardHolder(
                        events,
                        records,
                        name,
                        configuration,
                        variant,
                        size.weightStore(),
                        this::order,
                        this::published);
        for (BackendServer server : servers) {
            mServers.put(
                    server.name(),
                    new SimulatedServer(
                            events,
                            weights,
                            server,
                            configuration.get().models(),
                            () -> pollSoon(server.name())));
        }
        mHolder.tick();
        events.every(POLL_NANOS, () -> mServers.keySet().forEach(this::poll));
        events.every(TICK_NANOS, this::tick);
        events.every(EXCHANGE_NANOS, this::exchange);
    }

    void accept(SimulatedRequest request) {
        if (!mUp) {
            request.mEnd = SimulatedRequest.End.LOST;
            return;
        }
        ModelName name = request.mArrival.model();
        mArrivals.merge(name, 1, Integer::sum);
        mHolder.used(name);
        request.mCold = usable(name).isEmpty();
        mWaiting.computeIfAbsent(name, key -> new ArrayList<>()).add(request);
        pump(name);
        if (request.isWaiting()) {
            mEvents.at(
                    request.deadlineNanos(), () -> refuse(request, SimulatedRequest.End.EXPIRED));
            mEvents.after(MESSAGE_NANOS, () -> activate(request));
        }
    }

    /** Loses the whole domain without notice. */
    void lose() {
        mUp = false;
        mLife++;
        mHolder.stop();
        mServers.values().forEach(SimulatedServer::restart);
        mWaiting.values().forEach(list -> list.forEach(r -> r.mEnd = SimulatedRequest.End.LOST));
        mRunning.forEach(request -> request.mEnd = SimulatedRequest.End.LOST);
        mWaiting.clear();
        mRunning.clear();
        mArrivals = new HashMap<>();
        mRecord = ShardRecord.EMPTY;
    }

    /** Starts the hosts and the engines of the domain again. */
    void restore() {
        mUp = true;
        mHolder.start();
    }

    List<SimulatedServer> servers() {
        return List.copyOf(mServers.values());
    }

    private void activate(SimulatedRequest request) {
        ModelName name = request.mArrival.model();
        if (!request.isWaiting() || !usable(name).isEmpty()) {
            return;
        }
        long now = mEvents.nowNanos();
        Either<Refusal, Duration> estimate = mHolder.estimate(name);
        if (!request.mAsked) {
            request.mAsked = true;
            mHolder.wanted(name, request.deadlineNanos());
        }
        if (estimate.isLeft() || now + estimate.get().toNanos() > request.deadlineNanos()) {
            refuse(request, SimulatedRequest.End.REFUSED);
            return;
        }
        // The daemon asks again once the expected time has passed.
        long again = Math.max(estimate.get().toNanos(), ASK_NANOS);
        mEvents.after(again, () -> activate(request));
    }

    private void refuse(SimulatedRequest request, SimulatedRequest.End end) {
        if (request.isWaiting()) {
            request.mEnd = end;
            waiting(request.mArrival.model()).remove(request);
        }
    }

    private List<SimulatedRequest> waiting(ModelName name) {
        return mWaiting.computeIfAbsent(name, key -> new ArrayList<>());
    }

    private void pump(ModelName name) {
        List<SimulatedRequest> waiting = waiting(name);
        while (!waiting.isEmpty()) {
            Optional<SimulatedServer> server =
                    usable(name).stream()
                            .min(Comparator.comparingInt(SimulatedServer::running))
                            .filter(candidate -> candidate.enter(name));
            if (server.isEmpty()) {
                return;
            }
            start(waiting.remove(0), server.get());
        }
    }

    private void start(SimulatedRequest request, SimulatedServer server) {
        request.mStartedNanos = mEvents.nowNanos();
        mRunning.add(request);
        int life = mLife;
        mEvents.after(
                request.mArrival.service().toNanos(),
                () -> {
                    if (life == mLife) {
                        request.mEnd = SimulatedRequest.End.ANSWERED;
                        mRunning.remove(request);
                        server.leave(request.mArrival.model());
                        mHolder.used(request.mArrival.model());
                        pumpAll();
                    }
                });
    }

    private void pumpAll() {
        List.copyOf(mWaiting.keySet()).forEach(this::pump);
        mWaiting.values().removeIf(List::isEmpty);
    }

    /** Returns the servers on which the record shows the model, and its adapter, as loaded. */
    private List<SimulatedServer> usable(ModelName name) {
        return mServers.values().stream()
                .filter(server -> !mConfiguration.get().isDrained(server.server()))
                .filter(server -> loaded(server, name.model(), ""))
                .filter(
                        server ->
                                name.adapter().isEmpty()
                                        || loaded(server, name.model(), name.adapter().get()))
                .toList();
    }

    private boolean loaded(SimulatedServer server, String model, String adapter) {
        return mRecord.placements().stream()
                .anyMatch(
                        p ->
                                p.server().equals(server.server().name())
                                        && p.incarnation().equals(server.incarnation())
                                        && p.isFor(model, "1", adapter)
                                        && p.stage() == PlacementStage.LOADED);
    }

    private void published(ShardRecord record) {
        mRecord = record;
        pumpAll();
    }

    private void order(Order order) {
        Optional.ofNullable(mServers.get(order.server()))
                .ifPresent(server -> server.execute(order));
    }

    private void pollSoon(String server) {
        mEvents.after(OPEN_POLL_NANOS, () -> poll(server));
    }

    private void poll(String name) {
        SimulatedServer server = mServers.get(name);
        if (!mUp || server == null) {
            return;
        }
        long asked = mEvents.nowNanos();
        int life = mLife;
        ServerReport report = server.report(asked);
        keepUsed();
        mEvents.after(
                2 * MESSAGE_NANOS,
                () -> {
                    if (life == mLife) {
                        mHolder.reported(report);
                    }
                });
    }

    private void tick() {
        if (mUp) {
            keepUsed();
            mHolder.tick();
        }
    }

    private void keepUsed() {
        mRunning.forEach(request -> mHolder.used(request.mArrival.model()));
        mWaiting.keySet().forEach(mHolder::used);
    }

    private void exchange() {
        if (mUp) {
            mArrivals.forEach((name, n) -> mHolder.arrived(name, Math.min(n, MOST_ARRIVALS)));
            mArrivals = new HashMap<>();
            mHolder.confirmOwn();
        }
    }
}
