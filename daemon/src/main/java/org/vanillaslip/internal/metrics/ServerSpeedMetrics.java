package org.vanillaslip.internal.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import java.util.List;
import org.vanillaslip.internal.speed.MeasuredSpeed;

/** Gauges of the measured speeds of backend servers. */
public final class ServerSpeedMetrics {

    private final MultiGauge mSpeeds;
    private List<MeasuredSpeed> mShown = List.of();

    ServerSpeedMetrics(MeterRegistry registry) {
        mSpeeds =
                MultiGauge.builder(DaemonMetric.SERVER_SPEED.meterName())
                        .description(DaemonMetric.SERVER_SPEED.description())
                        .register(registry);
    }

    /** Replaces the values; a host that does not hold the lease shows none. */
    public void show(List<MeasuredSpeed> gauges) {
        if (!gauges.equals(mShown)) {
            mShown = List.copyOf(gauges);
            mSpeeds.register(mShown.stream().<MultiGauge.Row<?>>map(this::row).toList(), true);
        }
    }

    private MultiGauge.Row<?> row(MeasuredSpeed gauge) {
        List<String> labels = DaemonMetric.SERVER_SPEED.labels();
        return MultiGauge.Row.of(
                Tags.of(
                        labels.get(0),
                        gauge.server().pool(),
                        labels.get(1),
                        gauge.server().instance()),
                gauge.speed());
    }
}
