package org.vanillaslip.internal.placement;

import java.util.Comparator;
import java.util.Optional;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Model;

/** Selects the control shard that loads a model in a failure domain. */
public final class ShardSelection {

    private ShardSelection() {}

    /** Returns the shard with the largest replica budget for the model in the failure domain. */
    public static Optional<String> of(
            Configuration configuration, FailureDomain domain, Model model) {
        ReplicaBudget budget = new ReplicaBudget(configuration);
        return configuration.backendServers().values().stream()
                .filter(server -> server.kind() == BackendKind.MODEL_ENGINE)
                .filter(server -> server.failureDomain().equals(domain))
                .filter(server -> server.pool().equals(model.pool()))
                .map(BackendServer::controlShard)
                .distinct()
                .filter(shard -> budget.of(model, shard) > 0)
                .min(
                        Comparator.<String>comparingInt(shard -> -budget.of(model, shard))
                                .thenComparing(Comparator.naturalOrder()));
    }
}
