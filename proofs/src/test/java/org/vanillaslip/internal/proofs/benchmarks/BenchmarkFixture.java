package org.vanillaslip.internal.proofs.benchmarks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.FailureDomainEntry;
import org.vanillaslip.LoadTimes;
import org.vanillaslip.Model;
import org.vanillaslip.ModelName;
import org.vanillaslip.Plan;
import org.vanillaslip.RequestClass;
import org.vanillaslip.Route;
import org.vanillaslip.SlowStart;
import org.vanillaslip.WorkspaceEntry;
import org.vanillaslip.internal.admission.KeyDigest;
import org.vanillaslip.internal.lease.LeaseTimes;
import org.vanillaslip.internal.placement.KeepAlivePolicy;
import org.vanillaslip.internal.placement.PlacementSettings;
import org.vanillaslip.internal.placement.ReportedModel;
import org.vanillaslip.internal.placement.ServerReport;
import org.vanillaslip.internal.placement.ShardContext;
import org.vanillaslip.internal.placement.ShardRecord;
import org.vanillaslip.internal.placement.ShardState;
import org.vanillaslip.internal.placement.ShardStateMachine;
import org.vanillaslip.internal.placement.ShardStep;
import org.vanillaslip.internal.placement.WeightStoreLimits;
import org.vanillaslip.internal.placement.WriteObject;

/** One shard of 32 servers that has loaded each of its models once. */
final class BenchmarkFixture {

    static final int SERVERS = 32;
    static final String KEY = "benchmark-key";
    static final Route ROUTE =
            new Route(
                    "/quotes/quick",
                    BackendKind.MODEL_ENGINE,
                    "engines",
                    false,
                    RequestClass.INTERACTIVE,
                    true,
                    Duration.ofSeconds(10));

    private static final FailureDomain DOMAIN = new FailureDomain("east");
    private static final String SHARD = "east-1";

    final Configuration mConfiguration;
    final ShardContext mContext;
    final ShardStateMachine mMachine = new ShardStateMachine(new Random(1));
    ShardState mState = ShardState.initial(0);

    BenchmarkFixture(int models) {
        mConfiguration = configuration(models);
        PlacementSettings settings =
                new PlacementSettings(
                        LeaseTimes.STANDARD,
                        new WeightStoreLimits(5, 4, 32),
                        new KeepAlivePolicy(
                                0.5, Duration.ofMinutes(1), Duration.ofMinutes(5), Duration.ZERO),
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(3),
                        2);
        mContext =
                new ShardContext(
                        "host", SHARD, DOMAIN, 0, Set.of("host"), mConfiguration, settings);
        apply(mMachine.onTick(mState, mContext, 0));
        apply(mMachine.onRead(mState, mContext, 0, ShardRecord.EMPTY, 0));
        for (int server = 0; server < SERVERS; server++) {
            apply(mMachine.onServerReport(mState, mContext, report(server, models), 1));
        }
        for (int model = 0; model < models; model++) {
            apply(mMachine.onModelRequested(mState, mContext, name(model), 1_000_000, 1));
        }
    }

    static ModelName name(int model) {
        return new ModelName("m" + model, Optional.empty());
    }

    BackendServer server(int index) {
        return Objects.requireNonNull(mConfiguration.backendServers().get("engine" + index));
    }

    private void apply(ShardStep step) {
        mState = step.state();
        for (Object action : step.actions()) {
            if (action instanceof WriteObject) {
                WriteObject write = (WriteObject) action;
                String nonce = write.record().lease().nonce();
                apply(mMachine.onWritten(mState, mContext, nonce, write.expectedVersion() + 1, 1));
            }
        }
    }

    private static ServerReport report(int server, int models) {
        List<ReportedModel> residents = new ArrayList<>();
        for (int model = server; model < models; model += SERVERS) {
            residents.add(new ReportedModel("m" + model, "1", "", true, model + 1));
        }
        String name = "engine" + server;
        return new ServerReport(
                name, name + "-1", 0, residents.size(), residents, Map.of(), Set.of(), 1);
    }

    private static Configuration configuration(int models) {
        Map<String, Model> items = new HashMap<>();
        Map<String, BackendServer> servers = new HashMap<>();
        LoadTimes times =
                new LoadTimes(Duration.ofMillis(500), Duration.ofSeconds(2), Duration.ofSeconds(5));
        for (int i = 0; i < models; i++) {
            items.put("m" + i, new Model("m" + i, "1", "engines", 1, 1, Map.of("east", 1), times));
        }
        for (int i = 0; i < SERVERS; i++) {
            servers.put("engine" + i, server("engine" + i));
        }
        String digest = KeyDigest.of(KEY);
        return new Configuration(
                1,
                Map.of("plan", new Plan("plan", items.keySet(), Set.of(), 1_000, 1_000)),
                Map.of("w", new WorkspaceEntry("w", "plan", Set.of(digest))),
                Map.of(ROUTE.name(), ROUTE),
                items,
                servers,
                Map.of("east", new FailureDomainEntry("east", false)),
                Map.of(),
                Map.of(digest, "w"));
    }

    private static BackendServer server(String name) {
        return new BackendServer(
                name,
                DOMAIN,
                "127.0.0.1:1",
                BackendKind.MODEL_ENGINE,
                "engines",
                SHARD,
                1_000,
                1,
                true,
                false,
                new SlowStart(4, 16, Duration.ofSeconds(30)));
    }
}
