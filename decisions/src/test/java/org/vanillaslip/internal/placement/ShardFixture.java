package org.vanillaslip.internal.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.FailureDomainEntry;
import org.vanillaslip.LoadTimes;
import org.vanillaslip.Model;
import org.vanillaslip.ModelName;
import org.vanillaslip.SlowStart;
import org.vanillaslip.internal.lease.LeaseTimes;

/**
 * A failure domain with one shard of two servers. Each server has memory for one of the three large
 * models and the small model.
 */
final class ShardFixture {

    static final FailureDomain DOMAIN = new FailureDomain("east");
    static final String SHARD = "east-1";
    static final long SERVER_MEMORY_BYTES = 100;
    static final Map<String, Long> MODEL_BYTES = Map.of("a", 60L, "b", 70L, "c", 80L, "d", 20L);

    private ShardFixture() {}

    static long bytes(String model) {
        return MODEL_BYTES.getOrDefault(model, 0L);
    }

    static ModelName name(String model) {
        return new ModelName(model, Optional.empty());
    }

    static PlacementSettings settings() {
        return new PlacementSettings(
                LeaseTimes.STANDARD,
                new WeightStoreLimits(5, 4, 32),
                new KeepAlivePolicy(
                        0.5, Duration.ofSeconds(60), Duration.ofSeconds(8), Duration.ZERO),
                Duration.ofSeconds(1),
                Duration.ofSeconds(10),
                1);
    }

    static ShardContext context(
            String host, int rank, Set<String> hosts, Configuration configuration) {
        return new ShardContext(host, SHARD, DOMAIN, rank, hosts, configuration, settings());
    }

    static Configuration configuration(long version, boolean drainServer, boolean drainDomain) {
        Map<String, BackendServer> servers = new HashMap<>();
        servers.put("fenced", server("fenced", true, drainServer));
        servers.put("unfenced", server("unfenced", false, false));
        Map<String, Model> models = new HashMap<>();
        LoadTimes times =
                new LoadTimes(
                        Duration.ofMillis(100), Duration.ofMillis(300), Duration.ofSeconds(1));
        MODEL_BYTES.forEach(
                (name, bytes) ->
                        models.put(
                                name,
                                new Model(name, "1", "p", bytes, 10, Map.of("east", 1), times)));
        return new Configuration(
                version,
                Map.of(),
                Map.of(),
                Map.of(),
                models,
                servers,
                Map.of("east", new FailureDomainEntry("east", drainDomain)),
                Map.of(),
                Map.of());
    }

    private static BackendServer server(String name, boolean fencing, boolean drained) {
        return new BackendServer(
                name,
                DOMAIN,
                "127.0.0.1:1",
                BackendKind.MODEL_ENGINE,
                "p",
                SHARD,
                SERVER_MEMORY_BYTES,
                1,
                fencing,
                drained,
                new SlowStart(1, 8, Duration.ofSeconds(1)));
    }
}
