package org.vanillaslip.internal.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Model;
import org.vanillaslip.internal.lease.LeaseRank;

/** Divides the replicas of a model among the control shards of each failure domain. */
final class ReplicaBudget {

    private record PoolShard(String pool, String shard) {}

    private record DomainShards(FailureDomain domain, List<String> shards) {}

    private final Configuration mConfiguration;
    private final Map<String, List<BackendServer>> mModelEnginesByPool = new HashMap<>();
    private final Map<PoolShard, Optional<DomainShards>> mDomainShards = new HashMap<>();

    ReplicaBudget(Configuration configuration) {
        mConfiguration = configuration;
    }

    /** Returns how many replicas of the model the configuration assigns to the shard. */
    int of(Model model, String shard) {
        return mDomainShards
                .computeIfAbsent(new PoolShard(model.pool(), shard), this::domainShards)
                .map(domainShards -> replicasOfShard(model, shard, domainShards))
                .orElse(0);
    }

    private static int replicasOfShard(Model model, String shard, DomainShards domainShards) {
        int replicas = model.replicas().getOrDefault(domainShards.domain().name(), 0);
        List<String> shards = domainShards.shards();
        int rank = LeaseRank.of(model.name(), shard, shards);
        return replicas / shards.size() + (rank < replicas % shards.size() ? 1 : 0);
    }

    /**
     * Returns whether all other shards act on the replica counts of the model in the current
     * configuration. A shard without a record has confirmed nothing: it may be about to act on an
     * older configuration.
     */
    boolean confirmedByOtherShards(Model model, String ownShard, OtherShards others) {
        long needed = others.budgetVersions().getOrElse(model.name(), Long.MAX_VALUE);
        return modelEngines(model.pool()).stream()
                .map(BackendServer::controlShard)
                .distinct()
                .filter(shard -> !shard.equals(ownShard))
                .allMatch(shard -> confirmedByShard(model, shard, needed, others));
    }

    private boolean confirmedByShard(Model model, String shard, long needed, OtherShards others) {
        return others.records()
                .get(shard)
                .exists(
                        record ->
                                record.configurationVersion() >= needed
                                        && heldReplicas(record, model) <= of(model, shard));
    }

    private static int heldReplicas(ShardRecord record, Model model) {
        return Math.max(
                record.allowances().getOrDefault(model.name(), 0), record.replicas(model.name()));
    }

    private Optional<DomainShards> domainShards(PoolShard poolShard) {
        return modelEngines(poolShard.pool()).stream()
                .filter(server -> server.controlShard().equals(poolShard.shard()))
                .map(BackendServer::failureDomain)
                .findFirst()
                .map(domain -> new DomainShards(domain, shardsOf(poolShard.pool(), domain)));
    }

    private List<String> shardsOf(String pool, FailureDomain domain) {
        return modelEngines(pool).stream()
                .filter(server -> server.failureDomain().equals(domain))
                .map(BackendServer::controlShard)
                .distinct()
                .sorted()
                .toList();
    }

    private List<BackendServer> modelEngines(String pool) {
        return mModelEnginesByPool.computeIfAbsent(
                pool,
                name ->
                        mConfiguration.backendServers().values().stream()
                                .filter(server -> server.kind() == BackendKind.MODEL_ENGINE)
                                .filter(server -> server.pool().equals(name))
                                .toList());
    }
}
