package org.vanillaslip.internal.proofs.quota;

import java.util.ArrayList;
import java.util.List;

/** Hosts of a simulated deployment and the load of its workspaces. */
record DeploymentScenario(
        String name, int failureDomains, long oneWayNanos, int hosts, List<WorkspaceLoad> loads) {

    /** One mid-sized workspace sends five times its rate; the last two send bursts. */
    static DeploymentScenario mostrador() {
        return new DeploymentScenario(
                "Mostrador",
                3,
                1_500_000,
                8,
                List.of(
                        new WorkspaceLoad("large-1", 8000, 200, 0.7),
                        new WorkspaceLoad("large-2", 5000, 200, 0.9),
                        new WorkspaceLoad("over", 1500, 150, 5),
                        new WorkspaceLoad("small-1", 800, 100, 0),
                        new WorkspaceLoad("small-2", 400, 100, 0)));
    }

    /** One large workspace sends five times its rate; the last two send bursts. */
    static DeploymentScenario hanbit() {
        return new DeploymentScenario(
                "Hanbit",
                4,
                500_000,
                8,
                List.of(
                        new WorkspaceLoad("large-1", 6000, 250, 0.8),
                        new WorkspaceLoad("over", 4000, 250, 5),
                        new WorkspaceLoad("small-1", 1000, 100, 0.6),
                        new WorkspaceLoad("small-2", 800, 100, 0),
                        new WorkspaceLoad("small-3", 500, 100, 0)));
    }

    /** Even load at all hosts, to measure how messages grow with the number of hosts. */
    static DeploymentScenario even(int hosts, int workspaces) {
        List<WorkspaceLoad> loads = new ArrayList<>();
        for (int i = 0; i < workspaces; i++) {
            loads.add(new WorkspaceLoad("workspace-" + i, 1000, 100, 0.5));
        }
        return new DeploymentScenario("even", 3, 1_000_000, hosts, loads);
    }

    long totalRate() {
        return loads.stream().mapToLong(WorkspaceLoad::tokensPerSecond).sum();
    }
}
