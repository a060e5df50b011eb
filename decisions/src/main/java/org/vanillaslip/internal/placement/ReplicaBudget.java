package org.vanillaslip.internal.placement;

import java.util.List;
import java.util.Optional;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Model;
import org.vanillaslip.internal.lease.LeaseRank;

/** Divides the replicas of a model over failure domains and their shards. */
final class ReplicaBudget {

    private final Configuration mConfiguration;

    ReplicaBudget(Configuration configuration) {
        mConfiguration = configuration;
    }

    /** Returns how many replicas of the model the shard may hold by the configuration. */
    int of(Model model, String shard) {
        Optional<FailureDomain> domain =
                engines(model)
                        .filter(server -> server.controlShard().equals(shard))
                        .map(BackendServer::failureDomain)
                        .findFirst();
        if (domain.isEmpty()) {
            return 0;
        }
        int replicas = model.replicas().getOrDefault(domain.get().name(), 0);
        List<String> shards = shardsOf(model, domain.get());
        int rank = LeaseRank.of(model.name(), shard, shards);
        return replicas / shards.size() + (rank < replicas % shards.size() ? 1 : 0);
    }

    /**
     * Returns whether all other shards act on the replicas of the model that the configuration
     * names. A shard without a record has confirmed nothing: it may be about to act on an older
     * configuration.
     */
    boolean confirmed(Model model, String ownShard, OtherShards others) {
        long needed = others.budgetVersions().getOrElse(model.name(), Long.MAX_VALUE);
        return engines(model)
                .map(BackendServer::controlShard)
                .distinct()
                .filter(shard -> !shard.equals(ownShard))
                .allMatch(shard -> confirms(model, shard, needed, others));
    }

    private boolean confirms(Model model, String shard, long needed, OtherShards others) {
        return others.records()
                .get(shard)
                .exists(
                        record ->
                                record.configurationVersion() >= needed
                                        && held(record, model) <= of(model, shard));
    }

    private static int held(ShardRecord record, Model model) {
        return Math.max(
                record.allowances().getOrDefault(model.name(), 0), record.replicas(model.name()));
    }

    private List<String> shardsOf(Model model, FailureDomain domain) {
        return engines(model)
                .filter(server -> server.failureDomain().equals(domain))
                .map(BackendServer::controlShard)
                .distinct()
                .sorted()
                .toList();
    }

    private java.util.stream.Stream<BackendServer> engines(Model model) {
        return mConfiguration.backendServers().values().stream()
                .filter(server -> server.kind() == BackendKind.MODEL_ENGINE)
                .filter(server -> server.pool().equals(model.pool()));
    }
}
