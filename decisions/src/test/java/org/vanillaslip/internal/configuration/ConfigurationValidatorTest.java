package org.vanillaslip.internal.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.FailureDomainEntry;
import org.vanillaslip.ItemName;
import org.vanillaslip.LoadTimes;
import org.vanillaslip.Model;
import org.vanillaslip.Plan;
import org.vanillaslip.RequestClass;
import org.vanillaslip.Route;
import org.vanillaslip.SlowStart;
import org.vanillaslip.VersionedItem;
import org.vanillaslip.WorkspaceEntry;

/** Guards against configuration that passes validation although a host cannot apply it. */
class ConfigurationValidatorTest {

    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final LoadTimes LOAD_TIMES = new LoadTimes(SECOND, SECOND, SECOND);
    private static final FailureDomainEntry NORTH = new FailureDomainEntry("north", false);
    private static final FailureDomainEntry SOUTH = new FailureDomainEntry("south", false);

    @Test
    void acceptsItemsWithoutFaults() {
        Either<List<Fault>, Configuration> result =
                validate(
                        NORTH,
                        server("s", "north", "shard"),
                        model(2, "north"),
                        route("/a", "engines", BackendKind.MODEL_ENGINE),
                        new Plan("p", Set.of("m"), Set.of("a"), 0, 0),
                        new WorkspaceEntry("w", "p", Set.of("0".repeat(64))));
        assertThat(result.get().workspaceByKeyDigest("0".repeat(64))).isPresent();
    }

    @Test
    void reportsNegativeRatesAndBursts() {
        assertThat(faults(new Plan("p", Set.of(), Set.of(), -1, -2)))
                .containsExactly("plan.p tokensPerSecond -1", "plan.p burstTokens -2");
    }

    @Test
    void reportsReferencesToMissingItems() {
        assertThat(
                        faults(
                                new Plan("p", Set.of("none"), Set.of(), 1, 1),
                                new WorkspaceEntry("w", "gone", Set.of()),
                                server("s", "north", "shard"),
                                route("/a", "nowhere", BackendKind.MODEL_ENGINE),
                                model(1, "south")))
                .containsExactlyInAnyOrder(
                        "plan.p models none",
                        "workspace.w plan gone",
                        "backendserver.s failureDomain north",
                        "route./a pool nowhere",
                        "model.m replicas.south south");
    }

    @Test
    void reportsARouteToAPoolOfAnotherBackendKind() {
        assertThat(
                        faults(
                                NORTH,
                                server("s", "north", "shard"),
                                route("/a", "engines", BackendKind.PLAIN_SERVICE)))
                .containsExactly("route./a pool engines");
    }

    @Test
    void reportsTheThirtyThirdServerOfAControlShard() {
        List<ConfigurationItem> items = new ArrayList<>(List.of(NORTH));
        for (int number = 10; number < 42; number++) {
            items.add(server("s" + number, "north", "shard"));
        }
        assertThat(faults(items.toArray(new ConfigurationItem[0]))).isEmpty();
        items.add(server("s42", "north", "shard"));
        assertThat(faults(items.toArray(new ConfigurationItem[0])))
                .containsExactly("backendserver.s42 controlShard shard");
    }

    @Test
    void reportsAControlShardThatSpansFailureDomains() {
        assertThat(faults(NORTH, SOUTH, server("a", "north", "x"), server("b", "south", "x")))
                .containsExactly("backendserver.b controlShard x");
    }

    @Test
    void reportsNegativeReplicaCountsAndSumsThatOverflow() {
        ConfigurationItem server = server("s", "north", "shard");
        assertThat(faults(NORTH, server, model(-1, "north")))
                .containsExactly("model.m replicas.north -1");
        assertThat(faults(NORTH, SOUTH, server, model(Integer.MAX_VALUE, "north", "south")))
                .containsExactly("model.m replicas 4294967294");
    }

    @Test
    void doesNotIncludeAMalformedKeyDigestInTheFault() {
        List<String> faults =
                faults(
                        new Plan("p", Set.of(), Set.of(), 1, 1),
                        new WorkspaceEntry("w", "p", Set.of("plain-key")));
        assertThat(faults).containsExactly("workspace.w keyDigests (9 characters)");
    }

    private static List<String> faults(ConfigurationItem... items) {
        Either<List<Fault>, Configuration> result = validate(items);
        return result.isRight()
                ? List.of()
                : result.getLeft().stream()
                        .map(fault -> fault.item() + " " + fault.field() + " " + fault.value())
                        .toList();
    }

    private static Either<List<Fault>, Configuration> validate(ConfigurationItem... items) {
        return new ConfigurationValidator()
                .validate(
                        Arrays.stream(items)
                                .map(
                                        item ->
                                                new VersionedItem(
                                                        ItemName.of(item), 1, Optional.of(item)))
                                .toList());
    }

    private static Model model(int replicas, String... domains) {
        Map<String, Integer> counts = new HashMap<>();
        Arrays.stream(domains).forEach(domain -> counts.put(domain, replicas));
        return new Model("m", "1", "engines", 1, 0, counts, LOAD_TIMES);
    }

    private static Route route(String path, String pool, BackendKind kind) {
        return new Route(path, kind, pool, true, RequestClass.BATCH, true, SECOND);
    }

    private static BackendServer server(String name, String domain, String shard) {
        return new BackendServer(
                name,
                new FailureDomain(domain),
                "127.0.0.1:80",
                BackendKind.MODEL_ENGINE,
                "engines",
                shard,
                1,
                1,
                true,
                false,
                new SlowStart(1, 1, SECOND));
    }
}
