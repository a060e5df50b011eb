package org.vanillaslip.internal.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Model;

/** Ranks the servers on which a model can be loaded, first by free memory, then by load time. */
final class LoadTargetSelector {

    private final ShardState mState;
    private final ShardContext mContext;
    private final long mNowNanos;

    LoadTargetSelector(ShardState state, ShardContext context, long nowNanos) {
        mState = state;
        mContext = context;
        mNowNanos = nowNanos;
    }

    /**
     * Returns the servers that may take a new replica, best first. The caller has to check the free
     * memory.
     */
    List<BackendServer> candidates(Model model, ShardRecord record) {
        return mContext.servers().stream()
                .filter(server -> server.pool().equals(model.pool()))
                .filter(server -> !mContext.configuration().isDrained(server))
                .filter(server -> recentReport(server.name()).isPresent())
                .filter(server -> !isAssigned(record, server, model))
                .sorted(byPreference(model, record))
                .toList();
    }

    /**
     * Returns the expected load time of the model on the server, including the wait for the weight
     * store.
     */
    Duration estimateLoadTime(Model model, BackendServer server, ShardRecord record) {
        switch (checkpointSource(model, server.name())) {
            case "memory":
                return model.loadTimes().fromMemory();
            case "disk":
                return model.loadTimes().fromDisk();
            default:
                return mContext.weightStore()
                        .estimateLoadTime(
                                pendingRemoteLoads(record), model.loadTimes().fromRemote());
        }
    }

    /** Returns the number of loads from the weight store whose outcome is unknown. */
    int pendingRemoteLoads(ShardRecord record) {
        return (int)
                record.placements().stream()
                        .filter(p -> p.stage() == PlacementStage.LOAD_ORDERED)
                        .filter(p -> p.adapter().isEmpty())
                        .filter(p -> checkpointSource(p.model(), p.server()).equals("remote"))
                        .count();
    }

    String checkpointSource(Model model, String server) {
        return checkpointSource(model.name(), server);
    }

    String checkpointSource(String model, String server) {
        return recentReport(server)
                .map(report -> report.checkpoints().getOrDefault(model, "remote"))
                .orElse("remote");
    }

    /** Returns the last report of the server unless it is too old to be used for decisions. */
    Optional<ServerReport> recentReport(String server) {
        long limit = mContext.settings().maxReportAge().toNanos();
        return mState.reports()
                .get(server)
                .toJavaOptional()
                .filter(report -> mNowNanos - report.requestedNanos() < limit);
    }

    long freeBytes(BackendServer server, ShardRecord record) {
        return recentReport(server.name())
                .map(report -> FreeMemoryCalculator.freeBytes(server.memoryBytes(), record, report))
                .orElse(0L);
    }

    private Comparator<BackendServer> byPreference(Model model, ShardRecord record) {
        return Comparator.<BackendServer, Boolean>comparing(
                        server -> freeBytes(server, record) < model.memoryBytes())
                .thenComparing(server -> estimateLoadTime(model, server, record))
                .thenComparing(server -> placementsOn(record, server))
                .thenComparing(BackendServer::accelerators)
                .thenComparing(server -> -freeBytes(server, record))
                .thenComparing(BackendServer::name);
    }

    private static long placementsOn(ShardRecord record, BackendServer server) {
        return record.placements().stream().filter(p -> p.server().equals(server.name())).count();
    }

    private static boolean isAssigned(ShardRecord record, BackendServer server, Model model) {
        return record.placements().stream()
                        .anyMatch(
                                p ->
                                        p.server().equals(server.name())
                                                && p.isFor(model.name(), model.version(), ""))
                || record.offline().stream()
                        .anyMatch(
                                load ->
                                        load.server().equals(server.name())
                                                && load.model().equals(model.name())
                                                && !load.active());
    }
}
