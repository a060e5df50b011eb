package org.vanillaslip.internal.metrics;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** Builds the table of metrics in {@code docs/METRICS.md}. */
public final class MetricsTable {
    private MetricsTable() {}

    /** Returns one row per metric: name, labels, meaning. */
    public static List<List<String>> rows() {
        return Arrays.stream(DaemonMetric.values()).map(MetricsTable::row).toList();
    }

    private static List<String> row(DaemonMetric metric) {
        return List.of(
                "`" + metric.scrapeName() + "`",
                metric.labels().stream()
                        .map(label -> "`" + label + "`")
                        .collect(Collectors.joining(", ")),
                metric.description());
    }
}
