package org.vanillaslip.internal.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import java.util.List;
import java.util.function.ToIntFunction;
import org.vanillaslip.internal.duty.ServerCountGauge;

/** Gauges of the ordered and listed numbers of backend servers. */
public final class ServerCountMetrics {

    private final MultiGauge mOrdered;
    private final MultiGauge mListed;
    private List<ServerCountGauge> mShown = List.of();

    ServerCountMetrics(MeterRegistry registry) {
        mOrdered = multiGauge(DaemonMetric.SERVERS_ORDERED, registry);
        mListed = multiGauge(DaemonMetric.SERVERS_LISTED, registry);
    }

    private static MultiGauge multiGauge(DaemonMetric metric, MeterRegistry registry) {
        return MultiGauge.builder(metric.meterName())
                .description(metric.description())
                .register(registry);
    }

    /** Replaces the values; a host that does not hold the lease shows none. */
    public void show(List<ServerCountGauge> gauges) {
        if (!gauges.equals(mShown)) {
            mShown = List.copyOf(gauges);
            mOrdered.register(rows(DaemonMetric.SERVERS_ORDERED, ServerCountGauge::ordered), true);
            mListed.register(rows(DaemonMetric.SERVERS_LISTED, ServerCountGauge::listed), true);
        }
    }

    private List<MultiGauge.Row<?>> rows(
            DaemonMetric metric, ToIntFunction<ServerCountGauge> value) {
        return mShown.stream()
                .<MultiGauge.Row<?>>map(
                        gauge ->
                                MultiGauge.Row.of(
                                        Tags.of(
                                                metric.labels().get(0),
                                                gauge.pool(),
                                                metric.labels().get(1),
                                                gauge.failureDomain()),
                                        value.applyAsInt(gauge)))
                .toList();
    }
}
