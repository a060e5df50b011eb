package org.vanillaslip.internal.configuration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.Model;
import org.vanillaslip.Plan;
import org.vanillaslip.Route;
import org.vanillaslip.WorkspaceEntry;

/** Checks that items only refer to existing items and to pools of the matching backend kind. */
final class ReferenceChecks {

    private final FaultCollector mCollector;

    ReferenceChecks(FaultCollector collector) {
        mCollector = collector;
    }

    void check(Configuration configuration) {
        for (Plan plan : configuration.plans().values()) {
            for (String model : plan.models()) {
                boolean exists = configuration.models().containsKey(model);
                mCollector.require(exists, plan, "models", model, "the name of a model");
            }
        }
        for (WorkspaceEntry workspace : configuration.workspaces().values()) {
            boolean exists = configuration.plans().containsKey(workspace.plan());
            mCollector.require(exists, workspace, "plan", workspace.plan(), "the name of a plan");
        }
        for (BackendServer server : configuration.backendServers().values()) {
            String domain = server.failureDomain().name();
            boolean exists = configuration.failureDomains().containsKey(domain);
            mCollector.require(
                    exists, server, "failureDomain", domain, "the name of a failure domain");
        }
        checkPools(configuration);
        checkReplicas(configuration);
    }

    private void checkPools(Configuration configuration) {
        Map<String, Set<BackendKind>> kinds = new HashMap<>();
        for (BackendServer server : configuration.backendServers().values()) {
            kinds.computeIfAbsent(server.pool(), pool -> new HashSet<>()).add(server.kind());
        }
        for (Route route : configuration.routes().values()) {
            boolean matches = Set.of(route.kind()).equals(kinds.get(route.pool()));
            mCollector.require(
                    matches,
                    route,
                    "pool",
                    route.pool(),
                    "a pool of backend servers that are all of kind " + route.kind());
        }
        for (Model model : configuration.models().values()) {
            boolean matches = Set.of(BackendKind.MODEL_ENGINE).equals(kinds.get(model.pool()));
            mCollector.require(matches, model, "pool", model.pool(), "a pool of model engines");
        }
    }

    private void checkReplicas(Configuration configuration) {
        for (Model model : configuration.models().values()) {
            for (Map.Entry<String, Integer> replicas : model.replicas().entrySet()) {
                String field = "replicas." + replicas.getKey();
                boolean exists = configuration.failureDomains().containsKey(replicas.getKey());
                mCollector.require(
                        exists, model, field, replicas.getKey(), "the name of a failure domain");
            }
        }
    }
}
