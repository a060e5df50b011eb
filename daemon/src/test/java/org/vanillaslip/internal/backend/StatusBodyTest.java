package org.vanillaslip.internal.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a status whose uptime overflows when it is converted to nanoseconds. */
class StatusBodyTest {

    @ParameterizedTest
    @ValueSource(longs = {Long.MIN_VALUE, -1, 0, 9_300_000_000_000_000L, Long.MAX_VALUE})
    void anAbsurdUptimeIsLimited(long uptimeMillis) {
        StatusBody status =
                new StatusBody("incarnation", uptimeMillis, 0, 0, 0, 0, null, null, null);

        Duration uptime = status.toEngineStatus("server", 0).load().uptime();

        assertThat(uptime.toNanos()).isBetween(0L, Duration.ofDays(3650).toNanos());
    }
}
