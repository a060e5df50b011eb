package org.vanillaslip.internal.duty;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.vanillaslip.internal.scaling.DomainServers;
import org.vanillaslip.internal.scaling.ServerCountPlanner;

/** Formats the inputs of server counts for log lines. */
final class ServerCountText {

    private ServerCountText() {}

    static String of(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    static String of(Map<ScaledGroup, RecordedCount> counts) {
        return counts.entrySet().stream()
                .map(
                        entry ->
                                entry.getKey().pool()
                                        + "/"
                                        + entry.getKey().failureDomain()
                                        + "="
                                        + entry.getValue().servers())
                .sorted()
                .collect(Collectors.joining(" "));
    }

    /** Servers that were ordered and are not listed yet still boot. */
    static String of(List<DomainServers> domains, ServerCountPlanner planner) {
        return domains.stream()
                .map(
                        domain ->
                                domain.failureDomain()
                                        + ":"
                                        + domain.view().name().toLowerCase(Locale.ROOT)
                                        + ",ready="
                                        + domain.ready()
                                        + ",cold="
                                        + domain.cold()
                                        + ",booting="
                                        + Math.max(
                                                0,
                                                planner.servers(domain.failureDomain())
                                                        - domain.ready()
                                                        - domain.leaving().size())
                                        + ",leaving="
                                        + domain.leaving().size())
                .collect(Collectors.joining(" "));
    }
}
