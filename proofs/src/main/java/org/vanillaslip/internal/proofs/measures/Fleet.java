package org.vanillaslip.internal.proofs.measures;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.FailureDomainEntry;
import org.vanillaslip.LoadTimes;
import org.vanillaslip.Model;
import org.vanillaslip.SlowStart;

/** The models and backend servers of a deployment, drawn from a seed. */
final class Fleet {

    static final int CONCURRENCY = 16;

    private static final long GIGABYTE = 1L << 30;
    private static final long SERVER_BYTES = 24 * GIGABYTE;
    private static final long ADAPTER_BYTES = GIGABYTE / 16;

    private final DeploymentSize mSize;
    private final Map<String, Model> mModels = new HashMap<>();
    private final Map<String, BackendServer> mServers = new HashMap<>();

    Fleet(DeploymentSize size, long seed) {
        mSize = size;
        Random random = new Random(seed);
        Map<String, Integer> replicas = new HashMap<>();
        domains().forEach(domain -> replicas.put(domain, 1));
        for (int i = 0; i < size.models(); i++) {
            Model model = model("m" + i, 6 + random.nextInt(5), replicas);
            mModels.put(model.name(), model);
        }
        for (int domain = 0; domain < size.engines().size(); domain++) {
            for (int i = 0; i < size.engines().get(domain); i++) {
                BackendServer server = server("d" + domain, "d" + domain + "-engine" + i);
                mServers.put(server.name(), server);
            }
        }
    }

    List<String> domains() {
        List<String> domains = new ArrayList<>();
        for (int i = 0; i < mSize.engines().size(); i++) {
            domains.add("d" + i);
        }
        return domains;
    }

    List<BackendServer> servers(String domain) {
        return mServers.values().stream()
                .filter(server -> server.failureDomain().name().equals(domain))
                .sorted((a, b) -> a.name().compareTo(b.name()))
                .toList();
    }

    Configuration configuration(long version, Set<String> drained) {
        Map<String, FailureDomainEntry> entries = new HashMap<>();
        for (String domain : domains()) {
            entries.put(domain, new FailureDomainEntry(domain, drained.contains(domain)));
        }
        return new Configuration(
                version, Map.of(), Map.of(), Map.of(), mModels, mServers, entries, Map.of(),
                Map.of());
    }

    // Load times per gigabyte as in the lists of the example deployments.
    private static Model model(String name, int gigabytes, Map<String, Integer> replicas) {
        LoadTimes times =
                new LoadTimes(
                        Duration.ofMillis(60L * gigabytes),
                        Duration.ofMillis(240L * gigabytes),
                        Duration.ofMillis(600L * gigabytes));
        long bytes = gigabytes * GIGABYTE;
        return new Model(name, "1", "engines", bytes, ADAPTER_BYTES, replicas, times);
    }

    private static BackendServer server(String domain, String name) {
        return new BackendServer(
                name,
                new FailureDomain(domain),
                "127.0.0.1:1",
                BackendKind.MODEL_ENGINE,
                "engines",
                domain + "-shard",
                SERVER_BYTES,
                1,
                true,
                false,
                new SlowStart(4, CONCURRENCY, Duration.ofSeconds(30)));
    }
}
