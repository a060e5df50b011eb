package org.vanillaslip;

import java.util.Map;
import java.util.Optional;

/**
 * An immutable, validated snapshot of all configuration items.
 *
 * @param version highest platform version among the items, including removals
 * @param workspacesByKeyDigest workspace name by key digest
 */
public record Configuration(
        long version,
        Map<String, Plan> plans,
        Map<String, WorkspaceEntry> workspaces,
        Map<String, Route> routes,
        Map<String, Model> models,
        Map<String, BackendServer> backendServers,
        Map<String, FailureDomainEntry> failureDomains,
        Map<String, HostEntry> hosts,
        Map<String, String> workspacesByKeyDigest) {

    /** Copies all maps to make the record immutable. */
    public Configuration {
        plans = Map.copyOf(plans);
        workspaces = Map.copyOf(workspaces);
        routes = Map.copyOf(routes);
        models = Map.copyOf(models);
        backendServers = Map.copyOf(backendServers);
        failureDomains = Map.copyOf(failureDomains);
        hosts = Map.copyOf(hosts);
        workspacesByKeyDigest = Map.copyOf(workspacesByKeyDigest);
    }

    /** Returns the workspace that the key with the given digest belongs to. */
    public Optional<WorkspaceEntry> workspaceByKeyDigest(String keyDigest) {
        return Optional.ofNullable(workspacesByKeyDigest.get(keyDigest)).map(workspaces::get);
    }

    /** Returns the plan of the given workspace. */
    public Optional<Plan> planOf(Workspace workspace) {
        return Optional.ofNullable(workspaces.get(workspace.name()))
                .map(entry -> plans.get(entry.plan()));
    }

    /** Returns whether operators have drained the failure domain. */
    public boolean isDrained(FailureDomain failureDomain) {
        FailureDomainEntry entry = failureDomains.get(failureDomain.name());
        return entry != null && entry.drained();
    }

    /** Returns whether operators have drained the backend server or its failure domain. */
    public boolean isDrained(BackendServer server) {
        return server.drained() || isDrained(server.failureDomain());
    }
}
