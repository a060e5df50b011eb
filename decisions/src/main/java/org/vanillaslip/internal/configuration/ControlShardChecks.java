package org.vanillaslip.internal.configuration;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;

/** Checks that each control shard lies in one failure domain and does not exceed its size limit. */
final class ControlShardChecks {

    /**
     * The record of a shard with 32 servers is well below the platform's limit of 1 MB per value.
     */
    static final int MAX_SERVERS_PER_SHARD = 32;

    private final FaultCollector mCollector;

    ControlShardChecks(FaultCollector collector) {
        mCollector = collector;
    }

    void check(Configuration configuration) {
        Map<String, BackendServer> firstByShard = new HashMap<>();
        Map<String, Integer> sizes = new HashMap<>();
        List<BackendServer> servers =
                configuration.backendServers().values().stream()
                        .sorted(Comparator.comparing(BackendServer::name))
                        .toList();
        for (BackendServer server : servers) {
            String shard = server.controlShard();
            mCollector.require(!shard.isBlank(), server, "controlShard", shard, "a name");
            BackendServer first = firstByShard.computeIfAbsent(shard, name -> server);
            mCollector.require(
                    first.failureDomain().equals(server.failureDomain()),
                    server,
                    "controlShard",
                    shard,
                    "a shard of one failure domain only; server '"
                            + first.name()
                            + "' of it is in '"
                            + first.failureDomain().name()
                            + "'");
            int size = sizes.merge(shard, 1, Integer::sum);
            mCollector.require(
                    size <= MAX_SERVERS_PER_SHARD,
                    server,
                    "controlShard",
                    shard,
                    "a shard with at most " + MAX_SERVERS_PER_SHARD + " servers");
        }
    }
}
