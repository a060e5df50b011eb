package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;
import org.vanillaslip.internal.serving.ServicePool;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.ModelDemand;

/** Demand that all hosts reported to the lease holder; used on the decision loop only. */
final class FleetDemand {

    /** Demand of a host is dropped if the host has not reported for this long. */
    private static final Duration MAX_DEMAND_AGE = Duration.ofMillis(1500);

    private final PlanView mPlans;
    private final Map<String, DemandHistory> mHistories = new HashMap<>();
    private final Map<String, HostDemand> mDemands = new HashMap<>();

    FleetDemand(PlanView plans) {
        mPlans = plans;
    }

    /** Replaces the demand of a host and adds its arrivals to the history. */
    void recordReport(String host, DemandReport report, long nowNanos) {
        mDemands.put(host, new HostDemand(report, nowNanos));
        for (ModelDemand demand : report.getModelsList()) {
            if (demand.getArrivals() > 0) {
                DemandHistory history = history(demand.getPool());
                history.recordCalls(
                        demand.getModel(), demand.getArrivals(), isUrgent(demand), nowNanos);
                if (!demand.getAdapter().isEmpty()) {
                    Optional<String> adapter = Optional.of(demand.getAdapter());
                    history.recordAdapterRequest(
                            new ModelName(demand.getModel(), adapter), nowNanos);
                }
            }
        }
    }

    /**
     * Removes the demand of hosts that no longer report, as they have stopped or are partitioned.
     */
    void removeSilentHosts(long nowNanos) {
        mDemands.values()
                .removeIf(demand -> nowNanos - demand.receivedNanos() > MAX_DEMAND_AGE.toNanos());
    }

    /** Returns the number of hosts with recently reported demand. */
    int hostCount() {
        return mDemands.size();
    }

    /** Returns the recent demand for the models of a pool. */
    DemandHistory history(String pool) {
        return mHistories.computeIfAbsent(pool, name -> new DemandHistory());
    }

    /**
     * Returns the models of a pool that callers wait for and no server has loaded.
     *
     * @param loaded whether a server of the pool has loaded the model
     */
    Map<ModelName, LoadDemand> loadDemands(
            String pool, BiPredicate<String, ModelName> loaded, long nowNanos) {
        Map<ModelName, LoadDemand> demands = new HashMap<>();
        for (HostDemand demand : mDemands.values()) {
            long ageMillis = (nowNanos - demand.receivedNanos()) / 1_000_000;
            for (ModelDemand model : demand.report().getModelsList()) {
                if (model.getWaiting() > 0 && model.getPool().equals(pool)) {
                    LoadDemand loadDemand = toLoadDemand(model, ageMillis);
                    demands.merge(loadDemand.model(), loadDemand, LoadDemand::mergedWith);
                }
            }
        }
        demands.keySet().removeIf(name -> loaded.test(pool, name));
        return demands;
    }

    /** Returns the hosts whose callers wait for a model, with the times of their last reports. */
    Map<ModelName, Map<String, Long>> waitingHosts(String pool) {
        Map<ModelName, Map<String, Long>> hosts = new HashMap<>();
        mDemands.forEach(
                (host, demand) -> {
                    for (ModelDemand model : demand.report().getModelsList()) {
                        if (model.getWaiting() > 0 && model.getPool().equals(pool)) {
                            hosts.computeIfAbsent(modelName(model), name -> new HashMap<>())
                                    .put(host, demand.receivedNanos());
                        }
                    }
                });
        return hosts;
    }

    /** Returns the number of running calls by server and model. */
    Map<String, Map<String, Integer>> runningCalls() {
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

    /** Returns the capacity of a pool's engines and their models. */
    Optional<EngineProfile> engineProfile(String pool) {
        return mPlans.current()
                .flatMap(plan -> Optional.ofNullable(plan.pools().get(pool)))
                .flatMap(ServicePool::engine);
    }

    private boolean isUrgent(ModelDemand demand) {
        Optional<ModelProfile> model =
                engineProfile(demand.getPool())
                        .flatMap(
                                found ->
                                        Optional.ofNullable(found.models().get(demand.getModel())));
        return model.map(found -> demand.getObjectiveMillis() < found.diskLoadTime().toMillis())
                .orElse(false);
    }

    private static ModelName modelName(ModelDemand demand) {
        Optional<String> adapter =
                demand.getAdapter().isEmpty() ? Optional.empty() : Optional.of(demand.getAdapter());
        return new ModelName(demand.getModel(), adapter);
    }

    private static LoadDemand toLoadDemand(ModelDemand demand, long ageMillis) {
        return new LoadDemand(
                modelName(demand),
                demand.getWaiting(),
                Duration.ofMillis(demand.getObjectiveLeftMillis() - ageMillis),
                Duration.ofMillis(demand.getDeadlineLeftMillis() - ageMillis),
                demand.getPriority());
    }
}
