package org.vanillaslip.internal.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.HostEntry;
import org.vanillaslip.internal.control.ConfigurationView;
import reactor.core.publisher.Mono;

/** Serves the health, readiness, metrics and status pages of this host. */
final class StatusPages {

    private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8";

    private final GatewaySettings mSettings;
    private final ConfigurationView mConfiguration;
    private final ShutdownSequence mShutdown;
    private final RunningRequests mRunningRequests;
    private final Dispatcher mDispatcher;
    private final GatewayDependencies mDependencies;

    StatusPages(
            GatewaySettings settings,
            GatewayDependencies dependencies,
            ShutdownSequence shutdown,
            RunningRequests runningRequests,
            Dispatcher dispatcher) {
        mSettings = settings;
        mDependencies = dependencies;
        mConfiguration = dependencies.configuration();
        mShutdown = shutdown;
        mRunningRequests = runningRequests;
        mDispatcher = dispatcher;
    }

    /** Returns the page at the path, or empty if there is none. */
    Optional<Mono<BufferedResponse>> page(String path) {
        return switch (path) {
            case "/healthz" -> Optional.of(Mono.just(text(200, "ok")));
            case "/readyz" -> Optional.of(Mono.just(readiness()));
            case "/metrics" -> Optional.of(Mono.just(metrics()));
            case "/status" -> Optional.of(statusOnLoop());
            default -> Optional.empty();
        };
    }

    private BufferedResponse readiness() {
        return text(isReady() ? 200 : 503, isReady() ? "ready" : "not ready");
    }

    private boolean isReady() {
        return !mShutdown.hasBegun()
                && mConfiguration.current().map(this::isInService).orElse(false);
    }

    private boolean isInService(Configuration configuration) {
        HostEntry entry = configuration.hosts().get(mSettings.hostName());
        return (entry == null || !entry.drained())
                && !configuration.isDrained(new FailureDomain(mSettings.failureDomain()));
    }

    /** Builds the page on the decision loop, which the leases are confined to. */
    private Mono<BufferedResponse> statusOnLoop() {
        return Mono.fromSupplier(this::status).subscribeOn(mDependencies.loop().scheduler());
    }

    private BufferedResponse status() {
        ObjectNode status = JsonNodeFactory.instance.objectNode();
        status.put("host", mSettings.hostName());
        status.put("failure_domain", mSettings.failureDomain());
        status.put("ready", isReady());
        status.put("stopping", mShutdown.hasBegun());
        status.put("running", mRunningRequests.size());
        status.put("waiting", mDispatcher.waitingCount());
        ArrayNode liveHosts = status.putArray("live_hosts");
        liveHosts().forEach(liveHosts::add);
        ArrayNode heldShards = status.putArray("held_control_shards");
        mConfiguration
                .current()
                .map(this::heldShards)
                .ifPresent(names -> names.forEach(heldShards::add));
        ArrayNode faults = status.putArray("configuration_faults");
        mConfiguration.faults().forEach(fault -> faults.add(fault.toString()));
        mConfiguration
                .current()
                .ifPresent(
                        configuration -> {
                            status.put("configuration_version", configuration.version());
                            status.put("configuration_age_millis", mConfiguration.age().toMillis());
                        });
        return BufferedResponse.of(
                200, "application/json", status.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Includes this host, so that hosts that are connected to each other show the same list. */
    private Set<String> liveHosts() {
        Set<String> hosts = new TreeSet<>(mDependencies.liveHosts().get());
        hosts.add(mSettings.hostName());
        return hosts;
    }

    private Set<String> heldShards(Configuration configuration) {
        return configuration.backendServers().values().stream()
                .map(BackendServer::controlShard)
                .filter(
                        shard ->
                                mDependencies
                                        .placement()
                                        .holder(shard)
                                        .filter(this::isThisHost)
                                        .isPresent())
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private boolean isThisHost(String host) {
        return host.equals(mSettings.hostName());
    }

    private BufferedResponse metrics() {
        return BufferedResponse.of(
                200,
                PROMETHEUS_TEXT,
                mDependencies.metrics().scrape().getBytes(StandardCharsets.UTF_8));
    }

    private static BufferedResponse text(int status, String text) {
        return BufferedResponse.of(
                status, "text/plain", (text + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
