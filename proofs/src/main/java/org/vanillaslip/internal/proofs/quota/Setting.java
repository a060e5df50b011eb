package org.vanillaslip.internal.proofs.quota;

import java.util.ArrayList;
import java.util.List;

/** A deployment with its hosts and the load of its workspaces. */
record Setting(String name, int domains, long oneWayNanos, int hosts, List<Load> loads) {

    /** One mid-sized workspace sends five times its rate; the last two send bursts. */
    static Setting mostrador() {
        return new Setting(
                "Mostrador",
                3,
                1_500_000,
                8,
                List.of(
                        new Load("large-1", 8000, 200, 0.7),
                        new Load("large-2", 5000, 200, 0.9),
                        new Load("over", 1500, 150, 5),
                        new Load("small-1", 800, 100, 0),
                        new Load("small-2", 400, 100, 0)));
    }

    /** One large workspace sends five times its rate; the last two send bursts. */
    static Setting hanbit() {
        return new Setting(
                "Hanbit",
                4,
                500_000,
                8,
                List.of(
                        new Load("large-1", 6000, 250, 0.8),
                        new Load("over", 4000, 250, 5),
                        new Load("small-1", 1000, 100, 0.6),
                        new Load("small-2", 800, 100, 0),
                        new Load("small-3", 500, 100, 0)));
    }

    /** Even load at all hosts, for the growth of messages. */
    static Setting even(int hosts, int workspaces) {
        List<Load> loads = new ArrayList<>();
        for (int i = 0; i < workspaces; i++) {
            loads.add(new Load("workspace-" + i, 1000, 100, 0.5));
        }
        return new Setting("even", 3, 1_000_000, hosts, loads);
    }

    long totalRate() {
        return loads.stream().mapToLong(Load::rate).sum();
    }
}
