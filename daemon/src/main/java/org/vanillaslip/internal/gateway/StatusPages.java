package org.vanillaslip.internal.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.vanillaslip.Configuration;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.HostEntry;
import org.vanillaslip.internal.control.ConfigurationView;
import org.vanillaslip.internal.metrics.DaemonMetrics;

/** Health, readiness and status of this host. */
final class StatusPages {

    private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8";

    private final GatewaySettings mSettings;
    private final ConfigurationView mConfiguration;
    private final StopSequence mStop;
    private final RunningRequests mRunning;
    private final Dispatcher mDispatcher;
    private final DaemonMetrics mMetrics;

    StatusPages(
            GatewaySettings settings,
            ConfigurationView configuration,
            StopSequence stop,
            RunningRequests running,
            Dispatcher dispatcher,
            DaemonMetrics metrics) {
        mSettings = settings;
        mConfiguration = configuration;
        mStop = stop;
        mRunning = running;
        mDispatcher = dispatcher;
        mMetrics = metrics;
    }

    /** Returns the page of the path, or empty when the path is no page. */
    Optional<WholeReply> page(String path) {
        return switch (path) {
            case "/healthz" -> Optional.of(text(200, "ok"));
            case "/readyz" -> Optional.of(readiness());
            case "/metrics" -> Optional.of(metrics());
            case "/status" -> Optional.of(status());
            default -> Optional.empty();
        };
    }

    private WholeReply readiness() {
        return text(ready() ? 200 : 503, ready() ? "ready" : "not ready");
    }

    private boolean ready() {
        return !mStop.begun() && mConfiguration.current().map(this::inService).orElse(false);
    }

    private boolean inService(Configuration configuration) {
        HostEntry entry = configuration.hosts().get(mSettings.hostName());
        return (entry == null || !entry.drained())
                && !configuration.isDrained(new FailureDomain(mSettings.failureDomain()));
    }

    private WholeReply status() {
        ObjectNode status = JsonNodeFactory.instance.objectNode();
        status.put("host", mSettings.hostName());
        status.put("failure_domain", mSettings.failureDomain());
        status.put("ready", ready());
        status.put("stopping", mStop.begun());
        status.put("running", mRunning.size());
        status.put("waiting", mDispatcher.waiting());
        ArrayNode faults = status.putArray("configuration_faults");
        mConfiguration.faults().forEach(fault -> faults.add(fault.toString()));
        mConfiguration
                .current()
                .ifPresent(
                        configuration -> {
                            status.put("configuration_version", configuration.version());
                            status.put("configuration_age_millis", mConfiguration.age().toMillis());
                        });
        return WholeReply.of(
                200, "application/json", status.toString().getBytes(StandardCharsets.UTF_8));
    }

    private WholeReply metrics() {
        return WholeReply.of(
                200, PROMETHEUS_TEXT, mMetrics.scrape().getBytes(StandardCharsets.UTF_8));
    }

    private static WholeReply text(int status, String text) {
        return WholeReply.of(status, "text/plain", (text + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
