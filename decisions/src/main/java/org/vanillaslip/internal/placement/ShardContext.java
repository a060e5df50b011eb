package org.vanillaslip.internal.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Model;

/**
 * What a decision about a shard depends on besides its state.
 *
 * @param rank how many hosts are preferred over this host as holder
 * @param domainHosts all listed hosts of the failure domain, this host included
 */
public record ShardContext(
        String host,
        String shard,
        FailureDomain failureDomain,
        int rank,
        Set<String> domainHosts,
        Configuration configuration,
        PlacementSettings settings) {

    /** Returns this shard's fixed part of the fleet's weight store limits. */
    public WeightStoreLimits weightStore() {
        List<BackendServer> engines =
                configuration.backendServers().values().stream()
                        .filter(server -> server.kind() == BackendKind.MODEL_ENGINE)
                        .toList();
        long domains = engines.stream().map(BackendServer::failureDomain).distinct().count();
        long shards =
                engines.stream()
                        .filter(server -> server.failureDomain().equals(failureDomain))
                        .map(BackendServer::controlShard)
                        .distinct()
                        .count();
        return settings.weightStore()
                .perShard((int) Math.max(1, domains), (int) Math.max(1, shards));
    }

    /** Returns the model engines of this shard. */
    public List<BackendServer> servers() {
        return configuration.backendServers().values().stream()
                .filter(server -> server.kind() == BackendKind.MODEL_ENGINE)
                .filter(server -> server.controlShard().equals(shard))
                .toList();
    }

    /** Returns the server of this shard with the given name. */
    public Optional<BackendServer> server(String name) {
        return Optional.ofNullable(configuration.backendServers().get(name))
                .filter(server -> server.controlShard().equals(shard));
    }

    /** Returns the model with the given name. */
    public Optional<Model> model(String name) {
        return Optional.ofNullable(configuration.models().get(name));
    }
}
