package org.vanillaslip.internal.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.fleet.FleetDirectory;
import org.vanillaslip.internal.scaling.RecentModels;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.ModelDemand;
import org.vanillaslip.messages.RunningCalls;

/** Concurrent calls and recently requested models, from the demand reports of all hosts. */
final class ReportedDemand {

    /** Hosts without calls send no reports, and others several within this time. */
    private static final long MAX_AGE_NANOS = Duration.ofMillis(1500).toNanos();

    private final FleetDirectory mDirectory;
    private final Map<String, Report> mReports = new HashMap<>();
    private final Map<String, RecentModels> mModels = new HashMap<>();
    private final Map<String, Map<String, Integer>> mRunning = new HashMap<>();
    private final Map<String, Map<String, Integer>> mWaiting = new HashMap<>();

    ReportedDemand(FleetDirectory directory) {
        mDirectory = directory;
    }

    void record(String host, DemandReport report, long nowNanos) {
        mReports.put(host, new Report(report, nowNanos));
        for (ModelDemand demand : report.getModelsList()) {
            if (!demand.getModel().isEmpty() && demand.getArrivals() + demand.getWaiting() > 0) {
                models(demand.getPool()).recordRequest(modelName(demand), nowNanos);
            }
        }
    }

    void removeExpired(long nowNanos) {
        mReports.values().removeIf(report -> nowNanos - report.receivedNanos() > MAX_AGE_NANOS);
        mModels.values().forEach(models -> models.removeExpired(nowNanos));
    }

    void clear() {
        mReports.clear();
        mModels.clear();
    }

    RecentModels models(String pool) {
        return mModels.computeIfAbsent(pool, name -> new RecentModels());
    }

    /** Sums up the last reports of all hosts. */
    void sumUp() {
        mRunning.clear();
        mWaiting.clear();
        for (Report report : mReports.values()) {
            for (RunningCalls calls : report.demand().getRunningList()) {
                mDirectory
                        .member(calls.getServer())
                        .ifPresent(
                                server ->
                                        callsOf(mRunning, server.registered().pool())
                                                .merge(
                                                        calls.getModel(),
                                                        calls.getCount(),
                                                        Integer::sum));
            }
            for (ModelDemand demand : report.demand().getModelsList()) {
                if (demand.getWaiting() > 0) {
                    callsOf(mWaiting, demand.getPool())
                            .merge(demand.getModel(), demand.getWaiting(), Integer::sum);
                }
            }
        }
    }

    private static Map<String, Integer> callsOf(
            Map<String, Map<String, Integer>> callsByPool, String pool) {
        return callsByPool.computeIfAbsent(pool, name -> new HashMap<>());
    }

    /** Returns the running calls of a pool by model; calls without a model have an empty name. */
    Map<String, Integer> runningByModel(String pool) {
        return mRunning.getOrDefault(pool, Map.of());
    }

    /** Returns the waiting calls of a pool by model; calls without a model have an empty name. */
    Map<String, Integer> waitingByModel(String pool) {
        return mWaiting.getOrDefault(pool, Map.of());
    }

    private static ModelName modelName(ModelDemand demand) {
        return new ModelName(
                demand.getModel(),
                demand.getAdapter().isEmpty()
                        ? Optional.empty()
                        : Optional.of(demand.getAdapter()));
    }

    private record Report(DemandReport demand, long receivedNanos) {}
}
