package org.vanillaslip.internal.proofs.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
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

/** Creates configuration items at a fraction of the design size. */
final class DesignSizeItems {

    private static final int FAILURE_DOMAINS = 7;
    private static final int SERVERS = 2200;
    private static final int SERVERS_PER_SHARD = 32;
    private static final int MODELS = 1700;
    private static final int ADAPTERS = 47_000;
    private static final int PLANS = 500;

    /** Assumes one workspace per ten adapters; the requirements give no number of workspaces. */
    private static final int WORKSPACES = 4700;

    private final double mFraction;
    private final List<VersionedItem> mItems = new ArrayList<>();

    private DesignSizeItems(double fraction) {
        mFraction = fraction;
    }

    static List<VersionedItem> atFraction(double fraction) {
        DesignSizeItems items = new DesignSizeItems(fraction);
        items.addAll();
        return items.mItems;
    }

    /** Returns a change to one plan with a newer version than all items. */
    static VersionedItem planChange(List<VersionedItem> items, int number) {
        Plan plan =
                items.stream()
                        .flatMap(item -> item.item().stream())
                        .filter(Plan.class::isInstance)
                        .map(Plan.class::cast)
                        .findFirst()
                        .orElseThrow();
        Plan changed =
                new Plan(
                        plan.name(),
                        plan.models(),
                        plan.adapters(),
                        plan.tokensPerSecond() + number,
                        plan.burstTokens());
        return new VersionedItem(ItemName.of(changed), items.size() + number, Optional.of(changed));
    }

    private void addAll() {
        IntStream.range(0, FAILURE_DOMAINS)
                .forEach(i -> add(new FailureDomainEntry("domain-" + i, false)));
        IntStream.range(0, scaled(SERVERS)).forEach(this::addServer);
        IntStream.range(0, scaled(MODELS)).forEach(this::addModel);
        add(
                new Route(
                        "/completions",
                        BackendKind.MODEL_ENGINE,
                        "engines",
                        false,
                        RequestClass.INTERACTIVE,
                        true,
                        Duration.ofSeconds(10)));
        IntStream.range(0, scaled(PLANS)).forEach(this::addPlan);
        IntStream.range(0, scaled(WORKSPACES)).forEach(this::addWorkspace);
    }

    private void addServer(int i) {
        int domain = i % FAILURE_DOMAINS;
        int shard = i / FAILURE_DOMAINS / SERVERS_PER_SHARD;
        add(
                new BackendServer(
                        "engine-" + i,
                        new FailureDomain("domain-" + domain),
                        "10.0." + i / 250 + "." + i % 250 + ":8000",
                        BackendKind.MODEL_ENGINE,
                        "engines",
                        "shard-" + domain + "-" + shard,
                        640_000_000_000L,
                        8,
                        i % 2 == 0,
                        false,
                        new SlowStart(2, 64, Duration.ofSeconds(60))));
    }

    private void addModel(int i) {
        Map<String, Integer> replicas = new HashMap<>();
        IntStream.range(0, FAILURE_DOMAINS).forEach(d -> replicas.put("domain-" + d, 2));
        add(
                new Model(
                        "model-" + i,
                        "1",
                        "engines",
                        20_000_000_000L,
                        100_000_000L,
                        replicas,
                        new LoadTimes(
                                Duration.ofMillis(400),
                                Duration.ofSeconds(2),
                                Duration.ofSeconds(6))));
    }

    private void addPlan(int i) {
        int plans = scaled(PLANS);
        add(
                new Plan(
                        "plan-" + i,
                        names("model-", i, plans, scaled(MODELS)),
                        names("adapter-", i, plans, scaled(ADAPTERS)),
                        1000,
                        10_000));
    }

    private void addWorkspace(int i) {
        String digest = "%064x".formatted(i + 1);
        add(new WorkspaceEntry("workspace-" + i, "plan-" + i % scaled(PLANS), Set.of(digest)));
    }

    private void add(ConfigurationItem item) {
        mItems.add(new VersionedItem(ItemName.of(item), mItems.size() + 1, Optional.of(item)));
    }

    private int scaled(int size) {
        return Math.max(1, (int) (size * mFraction));
    }

    private static Set<String> names(String prefix, int first, int step, int size) {
        return IntStream.iterate(first, i -> i < size, i -> i + step)
                .mapToObj(i -> prefix + i)
                .collect(Collectors.toSet());
    }
}
