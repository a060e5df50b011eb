package org.vanillaslip.internal.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.ModelDemand;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Simulated hosts that order the same simulated engines and take over the lease in turn. */
final class HolderChangeSimulation {

    /** Time steps of hosts and engines. */
    private static final long MAX_STEP_MILLIS = 10;

    /** Directory and controller of a process of a host. */
    private record Process(FleetDirectory directory, LoadController controller) {}

    final LeaseSimulation mLeases;
    final EngineSimulation mEngines;
    private final Map<String, Process> mProcesses = new HashMap<>();

    /** Hosts that hear of the store's position all the time, as from relays. */
    final Set<String> mFollowing = new HashSet<>();

    private List<String> mRequested = List.of();
    private long mRevision;

    HolderChangeSimulation(int hosts, long seed) {
        VirtualTimeScheduler scheduler = VirtualTimeScheduler.create(false);
        mLeases = new LeaseSimulation(hosts);
        mEngines = new EngineSimulation(seed, scheduler);
        mLeases.advanceWithTime(scheduler);
    }

    /** Starts the hosts; engines are added before. */
    void start() {
        mLeases.hosts().forEach(this::startProcess);
        listEngines();
    }

    /** Restarts the process of a host, which has no memory of what the previous one sent. */
    void restart(LeaseSimulation.TestHost host) {
        host.restart();
        startProcess(host);
        listEngines();
    }

    private void startProcess(LeaseSimulation.TestHost host) {
        VirtualTimeScheduler scheduler = host.mScheduler;
        DecisionLoop loop = new DecisionLoop(scheduler, () -> scheduler.now(TimeUnit.NANOSECONDS));
        ServingCollections collections = new EngineCollections(mEngines);
        FleetDirectory directory =
                new FleetDirectory(
                        collections,
                        new DrainFollower(collections, loop, (event, fields) -> {}),
                        loop,
                        new StoreAnswerHistory(),
                        (event, fields) -> {});
        LoadController controller =
                new LoadController(
                        host.mName,
                        host.mLease,
                        directory,
                        () -> Optional.of(EngineCollections.plan()),
                        mEngines,
                        4,
                        loop,
                        mEngines::wallClockTime,
                        (event, fields) -> {});
        controller.start();
        mProcesses.put(host.mName, new Process(directory, controller));
    }

    /** Makes all hosts learn the present state of the engines. */
    void listEngines() {
        listEngines(mProcesses.keySet());
    }

    /** Makes some hosts learn the present state of the engines. */
    void listEngines(Collection<String> hosts) {
        mRevision++;
        List<StoredObject> objects = mEngines.mEngines.keySet().stream().map(this::entry).toList();
        hosts.forEach(
                host ->
                        mProcesses
                                .get(host)
                                .directory()
                                .listed(new ObjectList(mRevision, objects)));
    }

    /** Makes some hosts learn the present state of an engine by an event of their watches. */
    void sendEvent(String engine, Collection<String> hosts) {
        mRevision++;
        WatchEvent event = new WatchEvent(WatchEventType.MODIFIED, entry(engine));
        hosts.forEach(host -> mProcesses.get(host).directory().changed(event));
    }

    private StoredObject entry(String name) {
        return new StoredObject("servers", name, mRevision, JsonNodeFactory.instance.objectNode());
    }

    /** Sets the models and adapters, such as {@code m5:a1}, for which callers wait. */
    void request(String... models) {
        mRequested = List.of(models);
    }

    /** Advances the time, while callers wait for the requested models. */
    void run(Duration time) {
        long end = mLeases.millis() + time.toMillis();
        while (mLeases.millis() < end) {
            WatchEvent bookmark = new WatchEvent(WatchEventType.BOOKMARK, entry(""));
            mFollowing.forEach(host -> mProcesses.get(host).directory().changed(bookmark));
            DemandReport demand = demand();
            mLeases.hosts().stream()
                    .filter(host -> !host.mSuspended && !host.mDead)
                    .forEach(
                            host ->
                                    mProcesses
                                            .get(host.mName)
                                            .controller()
                                            .recordDemand("caller", demand));
            mLeases.run(Duration.ofMillis(Math.min(100, end - mLeases.millis())));
        }
    }

    private DemandReport demand() {
        DemandReport.Builder report = DemandReport.newBuilder();
        mRequested.stream()
                .map(ModelName::parse)
                .forEach(
                        name ->
                                report.addModels(
                                        ModelDemand.newBuilder()
                                                .setPool("pool")
                                                .setModel(name.model())
                                                .setAdapter(name.adapter().orElse(""))
                                                .setWaiting(1)
                                                .setArrivals(1)
                                                .setObjectiveMillis(3000)
                                                .setObjectiveLeftMillis(2900)
                                                .setDeadlineLeftMillis(20_000)));
        return report.build();
    }

    /** Returns the time of the first order that a host's order changed an engine after a time. */
    OptionalLong firstOrderOf(String host, long afterMillis) {
        return mEngines.mAccepted.stream()
                .filter(order -> order.holder().equals(host) && order.atMillis() >= afterMillis)
                .mapToLong(EngineSimulation.AcceptedOrder::atMillis)
                .findFirst();
    }

    /** Returns the orders that left although their sender was not permitted to send any. */
    List<EngineSimulation.WrittenOrder> ordersWithoutPermission() {
        return mEngines.mWritten.stream().filter(order -> !wasPermitted(order)).toList();
    }

    private boolean wasPermitted(EngineSimulation.WrittenOrder order) {
        return mLeases.orders().stream()
                .filter(permitted -> permitted.host().equals(order.holder()))
                .mapToLong(permitted -> order.atMillis() - permitted.atMillis())
                .anyMatch(age -> age >= 0 && age <= MAX_STEP_MILLIS);
    }

    /** Returns the orders of two hosts that a process of an engine executed within the delay. */
    List<String> turnsWithinHandoverDelay() {
        Map<String, EngineSimulation.AcceptedOrder> last = new HashMap<>();
        List<String> turns = new ArrayList<>();
        for (EngineSimulation.AcceptedOrder order : mEngines.mAccepted) {
            EngineSimulation.AcceptedOrder before =
                    last.put(order.server() + "@" + order.startedAtMillis(), order);
            if (before != null
                    && !before.holder().equals(order.holder())
                    && order.atMillis() - before.atMillis()
                            < LeaseSimulation.HANDOVER_DELAY.toMillis()) {
                turns.add(before + " then " + order);
            }
        }
        return turns;
    }
}
