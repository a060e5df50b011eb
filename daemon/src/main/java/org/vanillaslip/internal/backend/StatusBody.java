package org.vanillaslip.internal.backend;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.internal.control.ServerLoad;
import org.vanillaslip.internal.placement.ServerReport;

/** JSON response of {@code GET /v1/status}, and of {@code GET /status} for plain services. */
@JsonIgnoreProperties(ignoreUnknown = true)
record StatusBody(
        String incarnation,
        long uptimeMillis,
        int running,
        int waiting,
        long memoryUsedBytes,
        long highestTerm,
        @Nullable List<ResidentBody> resident,
        @Nullable Map<String, String> checkpoints,
        @Nullable Set<Long> refused) {

    /** Longer than any process runs, and short enough for any unit of time. */
    private static final Duration MAX_UPTIME = Duration.ofDays(3650);

    EngineStatus toEngineStatus(String server, long requestedNanos) {
        ServerReport report =
                new ServerReport(
                        server,
                        incarnation,
                        highestTerm,
                        memoryUsedBytes,
                        resident == null
                                ? List.of()
                                : resident.stream().map(ResidentBody::toReportedModel).toList(),
                        checkpoints == null ? Map.of() : checkpoints,
                        refused == null ? Set.of() : refused,
                        requestedNanos);
        Duration uptime =
                Duration.ofMillis(Math.max(0, Math.min(uptimeMillis, MAX_UPTIME.toMillis())));
        return new EngineStatus(report, new ServerLoad(incarnation, uptime, running, waiting));
    }
}
