package org.vanillaslip.internal.control.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.internal.control.ServerLoad;

/** The last known load of each server, from status reports to this host and from digests. */
final class ServerLoadTable {

    private final Map<String, ServerLoad> mLoads = new HashMap<>();
    private final Map<String, Long> mReportedNanos = new HashMap<>();

    /** Stores a report unless a newer one is known. */
    void put(String server, ServerLoad load, long reportedNanos) {
        if (reportedNanos >= mReportedNanos.getOrDefault(server, Long.MIN_VALUE)) {
            mLoads.put(server, load);
            mReportedNanos.put(server, reportedNanos);
        }
    }

    void put(ServerSummary summary, long nowNanos) {
        long reportedNanos = nowNanos - Duration.ofMillis(summary.ageMillis()).toNanos();
        Duration uptime = Duration.ofMillis(summary.uptimeMillis());
        put(
                summary.server(),
                new ServerLoad(summary.incarnation(), uptime, summary.running(), summary.waiting()),
                reportedNanos);
    }

    /** Returns the load; the age of its report is added to the uptime. */
    Optional<ServerLoad> load(String server, long nowNanos) {
        return Optional.ofNullable(mLoads.get(server))
                .map(
                        load ->
                                new ServerLoad(
                                        load.incarnation(),
                                        load.uptime().plusNanos(ageNanos(server, nowNanos)),
                                        load.running(),
                                        load.waiting()));
    }

    Optional<String> incarnation(String server) {
        return Optional.ofNullable(mLoads.get(server)).map(ServerLoad::incarnation);
    }

    List<ServerSummary> summaries(List<String> servers, long nowNanos) {
        return servers.stream()
                .flatMap(
                        server ->
                                Optional.ofNullable(mLoads.get(server)).stream()
                                        .map(load -> summary(server, load, nowNanos)))
                .toList();
    }

    private ServerSummary summary(String server, ServerLoad load, long nowNanos) {
        return new ServerSummary(
                server,
                load.incarnation(),
                load.uptime().toMillis(),
                load.running(),
                load.waiting(),
                Duration.ofNanos(ageNanos(server, nowNanos)).toMillis());
    }

    private long ageNanos(String server, long nowNanos) {
        return Math.max(0, nowNanos - mReportedNanos.getOrDefault(server, nowNanos));
    }
}
