package org.vanillaslip.internal.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.internal.control.PlacementView;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.internal.control.ServerLoad;
import org.vanillaslip.internal.routing.Candidate;

/**
 * Counts this host's in-flight requests per backend server and builds the candidates for routing.
 */
final class InFlightRequests {

    private final PlacementView mPlacement;
    private final Supplier<Optional<Configuration>> mConfiguration;
    private final Map<String, Integer> mCountsByServer = new HashMap<>();

    InFlightRequests(PlacementView placement, Supplier<Optional<Configuration>> configuration) {
        mPlacement = placement;
        mConfiguration = configuration;
    }

    void adjust(String server, int delta) {
        mCountsByServer.merge(server, delta, Integer::sum);
        mCountsByServer.remove(server, 0);
    }

    List<Candidate> candidates(List<Replica> replicas, Set<String> excludedServers) {
        return replicas.stream().map(replica -> candidate(replica, excludedServers)).toList();
    }

    private Candidate candidate(Replica replica, Set<String> excludedServers) {
        BackendServer server = replica.server();
        Optional<ServerLoad> load = mPlacement.load(server.name());
        boolean restarted =
                load.map(report -> !report.incarnation().equals(replica.incarnation()))
                        .orElse(false);
        return new Candidate(
                server,
                replica.incarnation(),
                restarted || isUnavailable(server) || excludedServers.contains(server.name()),
                mCountsByServer.getOrDefault(server.name(), 0),
                load.map(report -> report.running() + report.waiting()).orElse(0),
                load.map(ServerLoad::uptime));
    }

    /** Uses the current configuration, because a replica holds an earlier state of its server. */
    private boolean isUnavailable(BackendServer server) {
        return mConfiguration
                .get()
                .map(
                        configuration -> {
                            BackendServer current =
                                    configuration.backendServers().get(server.name());
                            return current == null || configuration.isDrained(current);
                        })
                .orElse(true);
    }
}
