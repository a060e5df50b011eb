package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/** Receives the expected waits of each plan. */
@FunctionalInterface
public interface ForecastListener {

    /**
     * Receives the expected wait for a model that callers wait for.
     *
     * @param expected empty if no load is planned
     * @param reportTimes times of the last reports of the hosts whose callers wait, in nanoseconds
     */
    void onForecast(CallTarget target, Optional<Duration> expected, Map<String, Long> reportTimes);
}
