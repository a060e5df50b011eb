package org.vanillaslip.internal.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.ItemName;
import org.vanillaslip.Model;
import org.vanillaslip.Plan;
import org.vanillaslip.Route;
import org.vanillaslip.WorkspaceEntry;
import org.vanillaslip.internal.admission.TokenEstimate;

/** Finds entries of a valid configuration that no call can use, and limits that contradict. */
public final class ConfigurationReview {

    /** Characters that the path of a request never contains. */
    private static final Pattern NOT_IN_PATH = Pattern.compile("[?#\\s]");

    private final Configuration mConfiguration;
    private final List<Finding> mFindings = new ArrayList<>();

    private ConfigurationReview(Configuration configuration) {
        mConfiguration = configuration;
    }

    /** Returns the findings, ordered by kind of item and name. */
    public static List<Finding> review(Configuration configuration) {
        ConfigurationReview review = new ConfigurationReview(configuration);
        configuration.plans().values().forEach(review::reviewPlan);
        configuration.workspaces().values().forEach(review::reviewWorkspace);
        configuration.routes().values().forEach(review::reviewRoute);
        configuration.models().values().forEach(review::reviewModel);
        configuration.backendServers().values().forEach(review::reviewServer);
        return List.copyOf(review.mFindings);
    }

    private void reviewPlan(Plan plan) {
        boolean held =
                any(
                        mConfiguration.workspaces().values(),
                        workspace -> workspace.plan().equals(plan.name()));
        neverUsedIf(!held, plan, "no workspace holds this plan");
        neverUsedIf(
                plan.models().isEmpty() && !plan.adapters().isEmpty(),
                plan,
                "its adapters need a model, and it names none");
        contradictionIf(
                plan.burstTokens() < TokenEstimate.PLAIN_CALL_TOKENS,
                plan,
                "burst_tokens is below one call, so every call is refused");
        contradictionIf(
                plan.tokensPerSecond() == 0 && plan.burstTokens() > 0,
                plan,
                "tokens_per_second is 0, so burst_tokens is never refilled");
    }

    private void reviewWorkspace(WorkspaceEntry workspace) {
        neverUsedIf(workspace.keyDigests().isEmpty(), workspace, "it has no key");
    }

    private void reviewRoute(Route route) {
        neverUsedIf(
                NOT_IN_PATH.matcher(route.name()).find(),
                route,
                "the path of a request contains no '?', '#' or space");
        neverUsedIf(
                route.kind() == BackendKind.MODEL_ENGINE
                        && !any(
                                mConfiguration.models().values(),
                                model -> model.pool().equals(route.pool())),
                route,
                "its pool has no model");
    }

    private void reviewModel(Model model) {
        List<Route> routes =
                mConfiguration.routes().values().stream()
                        .filter(route -> route.kind() == BackendKind.MODEL_ENGINE)
                        .filter(route -> route.pool().equals(model.pool()))
                        .toList();
        neverUsedIf(routes.isEmpty(), model, "no route leads to its pool");
        neverUsedIf(
                !routes.isEmpty()
                        && !any(routes, Route::open)
                        && !any(
                                mConfiguration.plans().values(),
                                plan -> plan.models().contains(model.name())),
                model,
                "no plan allows it");
        Set<String> domains =
                model.replicas().entrySet().stream()
                        .filter(replicas -> replicas.getValue() > 0)
                        .map(replicas -> replicas.getKey())
                        .collect(Collectors.toSet());
        neverUsedIf(domains.isEmpty(), model, "it has no replica in any failure domain");
        domains.stream().sorted().forEach(domain -> reviewReplicas(model, domain));
    }

    private void reviewReplicas(Model model, String domain) {
        List<BackendServer> servers =
                mConfiguration.backendServers().values().stream()
                        .filter(server -> server.pool().equals(model.pool()))
                        .filter(server -> server.failureDomain().name().equals(domain))
                        .toList();
        contradictionIf(
                servers.isEmpty(),
                model,
                "replicas." + domain + " is above 0, and the pool has no server there");
        contradictionIf(
                !servers.isEmpty()
                        && !any(servers, server -> server.memoryBytes() >= model.memoryBytes()),
                model,
                "memory_bytes is above that of every server of the pool in " + domain);
    }

    private void reviewServer(BackendServer server) {
        neverUsedIf(
                !any(mConfiguration.routes().values(), route -> route.pool().equals(server.pool())),
                server,
                "no route leads to its pool");
    }

    private static <T> boolean any(Collection<T> items, Predicate<T> condition) {
        return items.stream().anyMatch(condition);
    }

    private void neverUsedIf(boolean condition, ConfigurationItem item, String text) {
        add(condition, FindingKind.NEVER_USED, item, text);
    }

    private void contradictionIf(boolean condition, ConfigurationItem item, String text) {
        add(condition, FindingKind.CONTRADICTION, item, text);
    }

    private void add(boolean condition, FindingKind kind, ConfigurationItem item, String text) {
        if (condition) {
            mFindings.add(new Finding(kind, ItemName.of(item).objectName(), text));
        }
    }
}
