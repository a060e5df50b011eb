package org.vanillaslip.internal.control.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.backend.EngineStatus;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.internal.placement.Placement;
import org.vanillaslip.internal.placement.PlacementStage;
import org.vanillaslip.internal.placement.ReportedModel;
import org.vanillaslip.internal.placement.ShardRecord;

/**
 * Index of the loaded replicas, from shard records that are current, and otherwise from status
 * reports to this host.
 */
final class ReplicaTable {

    private final Consumer<ModelName> mListener;
    private final Map<String, ShardRecord> mRecords = new HashMap<>();
    private final Map<String, EngineStatus> mStatuses = new HashMap<>();
    private Map<ModelName, List<Replica>> mReplicas = Map.of();

    /** Creates an empty table; the listener receives each model whose replicas changed. */
    ReplicaTable(Consumer<ModelName> listener) {
        mListener = listener;
    }

    void put(String shard, ShardRecord record) {
        mRecords.put(shard, record);
    }

    void put(EngineStatus status) {
        mStatuses.put(status.report().server(), status);
    }

    List<Replica> replicas(ModelName model) {
        return mReplicas.getOrDefault(model, List.of());
    }

    /** Rebuilds the index; replicas of shards without a current record are taken from reports. */
    void rebuild(
            Configuration configuration, ServerLoadTable serverLoads, Set<String> currentShards) {
        Map<ModelName, List<Replica>> next = new HashMap<>();
        for (BackendServer server : configuration.backendServers().values()) {
            List<ReportedModel> models =
                    currentShards.contains(server.controlShard())
                            ? recordedModels(server, serverLoads)
                            : reportedModels(server);
            incarnation(server, serverLoads)
                    .ifPresent(incarnation -> addReplicas(next, server, incarnation, models));
        }
        Map<ModelName, List<Replica>> previous = mReplicas;
        mReplicas = next;
        Set<ModelName> names = new HashSet<>(previous.keySet());
        names.addAll(next.keySet());
        names.stream()
                .filter(
                        name ->
                                !previous.getOrDefault(name, List.of())
                                        .equals(next.getOrDefault(name, List.of())))
                .forEach(mListener);
    }

    private static Optional<String> incarnation(BackendServer server, ServerLoadTable serverLoads) {
        return serverLoads.incarnation(server.name());
    }

    private List<ReportedModel> recordedModels(BackendServer server, ServerLoadTable serverLoads) {
        return Optional.ofNullable(mRecords.get(server.controlShard())).stream()
                .flatMap(record -> record.placements().stream())
                .filter(placement -> placement.server().equals(server.name()))
                .filter(this::isLoaded)
                .filter(
                        placement ->
                                serverLoads
                                        .incarnation(server.name())
                                        .equals(Optional.of(placement.incarnation())))
                .map(ReplicaTable::toReportedModel)
                .toList();
    }

    // A reported load can be used immediately; storing its outcome on the platform may take long.
    private boolean isLoaded(Placement placement) {
        boolean reported =
                placement.stage() == PlacementStage.LOAD_ORDERED
                        && Optional.ofNullable(mStatuses.get(placement.server())).stream()
                                .map(EngineStatus::report)
                                .filter(
                                        report ->
                                                report.incarnation()
                                                        .equals(placement.incarnation()))
                                .flatMap(report -> report.models().stream())
                                .anyMatch(model -> model.loaded() && placement.matches(model));
        return reported || placement.stage() == PlacementStage.LOADED;
    }

    private static ReportedModel toReportedModel(Placement placement) {
        return new ReportedModel(
                placement.model(),
                placement.version(),
                placement.adapter(),
                true,
                placement.decision());
    }

    private List<ReportedModel> reportedModels(BackendServer server) {
        return Optional.ofNullable(mStatuses.get(server.name())).stream()
                .flatMap(status -> status.report().models().stream())
                .filter(ReportedModel::loaded)
                .toList();
    }

    private static void addReplicas(
            Map<ModelName, List<Replica>> replicas,
            BackendServer server,
            String incarnation,
            List<ReportedModel> models) {
        for (ReportedModel model : models) {
            usableNames(model, models)
                    .forEach(
                            name ->
                                    replicas.computeIfAbsent(name, key -> new ArrayList<>())
                                            .add(new Replica(server, incarnation, name)));
        }
    }

    // An adapter can be used only where its base model is also loaded.
    private static Stream<ModelName> usableNames(ReportedModel model, List<ReportedModel> models) {
        if (model.adapter().isEmpty()) {
            return Stream.of(new ModelName(model.model(), Optional.empty()));
        }
        return models.stream()
                .filter(base -> base.adapter().isEmpty())
                .filter(base -> base.model().equals(model.model()))
                .limit(1)
                .map(base -> new ModelName(model.model(), Optional.of(model.adapter())));
    }
}
