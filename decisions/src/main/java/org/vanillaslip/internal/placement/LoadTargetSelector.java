package org.vanillaslip.internal.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Model;

/** Chooses the server that would give the first token of a model soonest. */
final class LoadTargetSelector {

    private final ShardState mState;
    private final ShardContext mContext;
    private final long mNowNanos;

    LoadTargetSelector(ShardState state, ShardContext context, long nowNanos) {
        mState = state;
        mContext = context;
        mNowNanos = nowNanos;
    }

    /** Returns usable servers for a new replica, best first; memory is checked by the caller. */
    List<BackendServer> candidates(Model model, ShardRecord record) {
        return mContext.servers().stream()
                .filter(server -> server.pool().equals(model.pool()))
                .filter(server -> !mContext.configuration().isDrained(server))
                .filter(server -> report(server.name()).isPresent())
                .filter(server -> !holds(record, server, model))
                .sorted(order(model, record))
                .toList();
    }

    /** Returns the expected load time of the model on the server, the weight store included. */
    Duration estimate(Model model, BackendServer server, ShardRecord record) {
        switch (place(model, server.name())) {
            case "memory":
                return model.loadTimes().fromMemory();
            case "disk":
                return model.loadTimes().fromDisk();
            default:
                return mContext.weightStore()
                        .estimateLoadTime(remoteLoads(record), model.loadTimes().fromRemote());
        }
    }

    /** Returns the number of unresolved loads that use the weight store. */
    int remoteLoads(ShardRecord record) {
        return (int)
                record.placements().stream()
                        .filter(p -> p.stage() == PlacementStage.LOAD_ORDERED)
                        .filter(p -> p.adapter().isEmpty())
                        .filter(p -> place(p.model(), p.server()).equals("remote"))
                        .count();
    }

    String place(Model model, String server) {
        return place(model.name(), server);
    }

    String place(String model, String server) {
        return report(server)
                .map(report -> report.checkpoints().getOrDefault(model, "remote"))
                .orElse("remote");
    }

    /** Returns the last report of the server unless it is too old to decide by. */
    Optional<ServerReport> report(String server) {
        long limit = mContext.settings().maxReportAge().toNanos();
        return mState.reports()
                .get(server)
                .toJavaOptional()
                .filter(report -> mNowNanos - report.requestedNanos() < limit);
    }

    long free(BackendServer server, ShardRecord record) {
        return report(server.name())
                .map(report -> MemoryAccount.free(server.memoryBytes(), record, report))
                .orElse(0L);
    }

    private Comparator<BackendServer> order(Model model, ShardRecord record) {
        return Comparator.<BackendServer, Boolean>comparing(
                        server -> free(server, record) < model.memoryBytes())
                .thenComparing(server -> estimate(model, server, record))
                .thenComparing(server -> replicasOn(record, server))
                .thenComparing(BackendServer::accelerators)
                .thenComparing(server -> -free(server, record))
                .thenComparing(BackendServer::name);
    }

    private static long replicasOn(ShardRecord record, BackendServer server) {
        return record.placements().stream().filter(p -> p.server().equals(server.name())).count();
    }

    private static boolean holds(ShardRecord record, BackendServer server, Model model) {
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
