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
        Duration uptime = Duration.ofMillis(uptimeMillis);
        return new EngineStatus(report, new ServerLoad(incarnation, uptime, running, waiting));
    }
}
