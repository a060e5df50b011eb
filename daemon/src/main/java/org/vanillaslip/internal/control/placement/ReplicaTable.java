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

/** Index of loaded replicas, from records while they are current and else from own reports. */
final class ReplicaTable {

    private final Consumer<ModelName> mListener;
    private final Map<String, ShardRecord> mRecords = new HashMap<>();
    private final Map<String, EngineStatus> mReports = new HashMap<>();
    private Map<ModelName, List<Replica>> mReplicas = Map.of();

    /** Creates an empty table; the listener is told of models whose replicas changed. */
    ReplicaTable(Consumer<ModelName> listener) {
        mListener = listener;
    }

    void put(String shard, ShardRecord record) {
        mRecords.put(shard, record);
    }

    void put(EngineStatus status) {
        mReports.put(status.report().server(), status);
    }

    List<Replica> replicas(ModelName model) {
        return mReplicas.getOrDefault(model, List.of());
    }

    /** Builds the index again; shards without current record are known from reports only. */
    void rebuild(Configuration configuration, ServerLoadTable loads, Set<String> currentShards) {
        Map<ModelName, List<Replica>> next = new HashMap<>();
        for (BackendServer server : configuration.backendServers().values()) {
            List<ReportedModel> residents =
                    currentShards.contains(server.controlShard())
                            ? recorded(server, loads)
                            : reported(server);
            incarnation(server, loads)
                    .ifPresent(incarnation -> add(next, server, incarnation, residents));
        }
        Map<ModelName, List<Replica>> old = mReplicas;
        mReplicas = next;
        Set<ModelName> names = new HashSet<>(old.keySet());
        names.addAll(next.keySet());
        names.stream()
                .filter(
                        n ->
                                !old.getOrDefault(n, List.of())
                                        .equals(next.getOrDefault(n, List.of())))
                .forEach(mListener);
    }

    private static Optional<String> incarnation(BackendServer server, ServerLoadTable loads) {
        return loads.incarnation(server.name());
    }

    private List<ReportedModel> recorded(BackendServer server, ServerLoadTable loads) {
        return Optional.ofNullable(mRecords.get(server.controlShard())).stream()
                .flatMap(record -> record.placements().stream())
                .filter(p -> p.server().equals(server.name()))
                .filter(this::loaded)
                .filter(p -> loads.incarnation(server.name()).equals(Optional.of(p.incarnation())))
                .map(ReplicaTable::resident)
                .toList();
    }

    // A reported load can be used at once; the platform may take long to store its outcome.
    private boolean loaded(Placement placement) {
        boolean reported =
                placement.stage() == PlacementStage.LOAD_ORDERED
                        && Optional.ofNullable(mReports.get(placement.server())).stream()
                                .map(EngineStatus::report)
                                .filter(r -> r.incarnation().equals(placement.incarnation()))
                                .flatMap(report -> report.models().stream())
                                .anyMatch(r -> r.loaded() && placement.matches(r));
        return reported || placement.stage() == PlacementStage.LOADED;
    }

    private static ReportedModel resident(Placement p) {
        return new ReportedModel(p.model(), p.version(), p.adapter(), true, p.decision());
    }

    private List<ReportedModel> reported(BackendServer server) {
        return Optional.ofNullable(mReports.get(server.name())).stream()
                .flatMap(status -> status.report().models().stream())
                .filter(ReportedModel::loaded)
                .toList();
    }

    private static void add(
            Map<ModelName, List<Replica>> replicas,
            BackendServer server,
            String incarnation,
            List<ReportedModel> residents) {
        for (ReportedModel resident : residents) {
            name(resident, residents)
                    .forEach(
                            name ->
                                    replicas.computeIfAbsent(name, n -> new ArrayList<>())
                                            .add(new Replica(server, incarnation, name)));
        }
    }

    // An adapter can be used only where its base model is loaded too.
    private static Stream<ModelName> name(ReportedModel resident, List<ReportedModel> residents) {
        if (resident.adapter().isEmpty()) {
            return Stream.of(new ModelName(resident.model(), Optional.empty()));
        }
        return residents.stream()
                .filter(base -> base.adapter().isEmpty())
                .filter(base -> base.model().equals(resident.model()))
                .limit(1)
                .map(base -> new ModelName(resident.model(), Optional.of(resident.adapter())));
    }
}
