package org.vanillaslip.internal.relay;

import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.serving.ServedRoute;

/** Records metrics of pass-through calls. */
final class RelayMetrics {

    private final DaemonMetrics mMetrics;

    RelayMetrics(DaemonMetrics metrics) {
        mMetrics = metrics;
    }

    void recordAnswered(ServedRoute route, int status, long firstEventNanos) {
        mMetrics.relayAnswered(route.kind(), status / 100, firstEventNanos);
    }

    void recordRefused(ResultCode code) {
        mMetrics.relayRefused(code);
    }

    void recordBroken(ServedRoute route) {
        mMetrics.relayBroken(route.kind());
    }
}
