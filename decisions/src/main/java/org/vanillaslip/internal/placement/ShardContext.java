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
 * The inputs to a decision about a shard besides its state.
 *
 * @param rank number of hosts that are preferred to this host as lease holder
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

    /** Returns this shard's fixed share of the weight store limits of the fleet. */
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
