package org.vanillaslip.internal.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.fleet.FleetDirectory;
import org.vanillaslip.internal.fleet.FleetMember;
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

    /** Returns the running calls of a pool by model; calls without a model have an empty name. */
    Map<String, Integer> runningByModel(String pool) {
        Map<String, Integer> running = new HashMap<>();
        for (Report report : mReports.values()) {
            for (RunningCalls calls : report.demand().getRunningList()) {
                if (belongsTo(pool, calls.getServer())) {
                    running.merge(calls.getModel(), calls.getCount(), Integer::sum);
                }
            }
        }
        return running;
    }

    private boolean belongsTo(String pool, String server) {
        return mDirectory
                .member(server)
                .map(FleetMember::registered)
                .filter(registered -> registered.pool().equals(pool))
                .isPresent();
    }

    /** Returns the waiting calls of a pool by model; calls without a model have an empty name. */
    Map<String, Integer> waitingByModel(String pool) {
        Map<String, Integer> waiting = new HashMap<>();
        for (Report report : mReports.values()) {
            for (ModelDemand demand : report.demand().getModelsList()) {
                if (demand.getWaiting() > 0 && demand.getPool().equals(pool)) {
                    waiting.merge(demand.getModel(), demand.getWaiting(), Integer::sum);
                }
            }
        }
        return waiting;
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
