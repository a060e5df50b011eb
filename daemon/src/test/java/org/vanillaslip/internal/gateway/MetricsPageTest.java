package org.vanillaslip.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against metrics that are declared but not recorded or not exposed. */
class MetricsPageTest {

    @Test
    void reportsRequestCountsLatenciesQueueWaitsAndColdStarts() {
        try (GatewayHarness harness = new GatewayHarness()) {
            harness.mModelLoaded = false;
            var waiting = harness.postQuote(true);
            harness.awaitCondition(() -> harness.waitingRequestCount() == 1);
            // Longer than the expected wait, so that the request activates the model again.
            for (int second = 0; second < 3; second++) {
                harness.mVirtualTime.advanceTimeBy(Duration.ofSeconds(1));
            }
            harness.setModelLoaded(true);
            harness.awaitResponse(waiting, Duration.ZERO);
            harness.awaitResponse(harness.post("/nowhere", "{}"), Duration.ZERO);
            harness.awaitResponse(harness.post("/quotes", "{}"), Duration.ZERO);

            assertThat(harness.awaitResponse(harness.get("/status"), Duration.ZERO).body())
                    .contains("workspace.w: plan is 'gone'; allowed: the name of a plan");
            var page = harness.awaitResponse(harness.get("/metrics"), Duration.ZERO);

            assertThat(page.headers().firstValue("Content-Type").orElseThrow())
                    .startsWith("text/plain; version=0.0.4");
            assertThat(page.body())
                    .contains("vanillaslip_requests_total{class=\"interactive\",code=\"0\"} 1.0")
                    .contains("vanillaslip_requests_total{class=\"interactive\",code=\"1004\"} 1.0")
                    .contains("vanillaslip_requests_total{class=\"none\",code=\"1001\"} 1.0")
                    .contains("_time_to_first_token_seconds_sum{class=\"interactive\"} 3.0")
                    .contains("vanillaslip_queue_wait_seconds_sum{class=\"interactive\"} 3.0")
                    .contains("vanillaslip_cold_start_seconds_sum{kind=\"model\"} 3.0");
        }
    }
}
