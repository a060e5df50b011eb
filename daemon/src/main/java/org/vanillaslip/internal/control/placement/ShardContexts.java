package org.vanillaslip.internal.control.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;
import org.vanillaslip.internal.control.ConfigurationView;
import org.vanillaslip.internal.control.HostView;
import org.vanillaslip.internal.lease.LeaseRank;
import org.vanillaslip.internal.placement.PlacementSettings;
import org.vanillaslip.internal.placement.ShardContext;

/** Creates the contexts of shard decisions from the configuration and host list of this host. */
final class ShardContexts {

    private final String mHost;
    private final FailureDomain mDomain;
    private final PlacementSettings mSettings;
    private final ConfigurationView mConfiguration;
    private final HostView mHosts;

    ShardContexts(
            String host,
            FailureDomain domain,
            PlacementSettings settings,
            ConfigurationView configuration,
            HostView hosts) {
        mHost = host;
        mDomain = domain;
        mSettings = settings;
        mConfiguration = configuration;
        mHosts = hosts;
    }

    Optional<Configuration> configuration() {
        return mConfiguration.current();
    }

    FailureDomain domain() {
        return mDomain;
    }

    String host() {
        return mHost;
    }

    /** Returns all listed hosts. */
    List<Host> hosts() {
        return mHosts.hosts();
    }

    /** Returns whether the host is listed in another failure domain. */
    boolean isRemote(String name) {
        return mHosts.hosts().stream()
                .anyMatch(
                        host -> host.name().equals(name) && !host.failureDomain().equals(mDomain));
    }

    /** Returns the names of the shards of this failure domain. */
    Set<String> shards() {
        return configuration()
                .map(configuration -> configuration.backendServers().values().stream())
                .stream()
                .flatMap(servers -> servers)
                .filter(server -> server.failureDomain().equals(mDomain))
                .map(BackendServer::controlShard)
                .collect(Collectors.toSet());
    }

    /** Returns the other hosts of this failure domain. */
    List<String> peers() {
        return mHosts.hosts().stream()
                .filter(host -> host.failureDomain().equals(mDomain))
                .map(Host::name)
                .filter(name -> !name.equals(mHost))
                .toList();
    }

    /** Returns the context of the shard, or empty while this host has no configuration. */
    Optional<ShardContext> of(String shard) {
        return configuration().map(configuration -> of(shard, configuration));
    }

    private ShardContext of(String shard, Configuration configuration) {
        Set<String> domainHosts =
                mHosts.hosts().stream()
                        .filter(host -> host.failureDomain().equals(mDomain))
                        .map(Host::name)
                        .collect(Collectors.toSet());
        // Leaving and drained hosts rank last, so that a shard does not move twice.
        List<String> availableHosts =
                mHosts.hosts().stream()
                        .filter(host -> host.failureDomain().equals(mDomain))
                        .filter(host -> !host.leaving() && !isDrained(configuration, host.name()))
                        .map(Host::name)
                        .toList();
        int rank = LeaseRank.of(shard, mHost, availableHosts);
        int penalty = availableHosts.contains(mHost) ? 0 : availableHosts.size();
        return new ShardContext(
                mHost, shard, mDomain, rank + penalty, domainHosts, configuration, mSettings);
    }

    private static boolean isDrained(Configuration configuration, String host) {
        return configuration.hosts().containsKey(host) && configuration.hosts().get(host).drained();
    }
}
