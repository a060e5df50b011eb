package org.vanillaslip.internal.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vanillaslip.ModelName;
import org.vanillaslip.RequestClass;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.duty.ServerCountGauge;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.serving.CallKind;
import org.vanillaslip.internal.speed.MeasuredServer;
import org.vanillaslip.internal.speed.MeasuredSpeed;

/**
 * Guards against metrics that are missing from the scrape or differ from their documented names.
 */
class DaemonMetricsTest {
    private final DaemonMetrics mMetrics =
            new DaemonMetrics(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));

    @Test
    void scrapesEveryMetricUnderItsDocumentedName() {
        mMetrics.requestFinished(Optional.of(RequestClass.INTERACTIVE), Optional.empty());
        mMetrics.requestFinished(
                Optional.of(RequestClass.BATCH), Optional.of(ResultCode.QUEUE_FULL));
        mMetrics.requestFinished(Optional.empty(), Optional.of(ResultCode.UNKNOWN_ROUTE));
        mMetrics.firstToken(RequestClass.INTERACTIVE, Duration.ofMillis(300));
        mMetrics.queueWait(RequestClass.WAITING, Duration.ofMillis(20));
        mMetrics.coldStart(ModelName.parse("edge:oak"), Duration.ofSeconds(3));
        mMetrics.platformCall("update", Optional.of(PlatformFailure.CONFLICT));
        mMetrics.peerMessage(PeerDirection.SENT, "HEARTBEAT");
        mMetrics.peerBytes(PeerDirection.SENT, "HEARTBEAT", 40);
        mMetrics.tokensGranted(QuotaLimitKind.WORKSPACE_RATE, 40_500_000);
        mMetrics.tokensBorrowed(QuotaLimitKind.OTHER, 2_000_000);
        mMetrics.relayAnswered(CallKind.STREAM, 2, 300_000_000);
        mMetrics.relayRefused(ResultCode.RATE_EXCEEDED);
        mMetrics.relayBroken(CallKind.STREAM);
        mMetrics.serverCounts().show(List.of(new ServerCountGauge("pool", "zone", 4, 3)));
        MeasuredServer server = new MeasuredServer("pool", "s1", 1);
        mMetrics.serverSpeeds().show(List.of(new MeasuredSpeed(server, 0.7)));
        mMetrics.serverLimitChanged(true);
        mMetrics.sendPermitRequested("granted");
        mMetrics.serverSaidLeaving();
        mMetrics.serverPauseAsked();
        mMetrics.rankedCall("lifted");
        mMetrics.usageWindow("settled");
        mMetrics.usageReportSent("ACCEPTED");
        mMetrics.usageCallsLate(1);

        String scrape = mMetrics.scrape();

        for (DaemonMetric metric : DaemonMetric.values()) {
            assertThat(scrape).contains("# TYPE " + metric.scrapeName() + " ");
        }
        assertThat(scrape)
                .contains("vanillaslip_requests_total{class=\"interactive\",code=\"0\"} 1.0")
                .contains("vanillaslip_requests_total{class=\"batch\",code=\"2002\"} 1.0")
                .contains("vanillaslip_requests_total{class=\"none\",code=\"1001\"} 1.0")
                .contains("vanillaslip_cold_start_seconds_count{kind=\"adapter\"} 1")
                .contains("{class=\"interactive\",le=\"0.46\"} 1")
                .contains("{kind=\"update\",result=\"conflict\"} 1.0")
                .contains(
                        "vanillaslip_peer_bytes_total{body=\"heartbeat\",direction=\"sent\"} 40.0")
                .contains("vanillaslip_quota_tokens_granted_total{limit=\"workspace_rate\"} 40.5")
                .contains("vanillaslip_relay_answers_total{kind=\"stream\",status=\"2xx\"} 1.0")
                .contains("vanillaslip_relay_refusals_total{code=\"2001\"} 1.0")
                .contains("vanillaslip_server_limits_total{change=\"named\"} 1.0")
                .contains("vanillaslip_send_permits_total{result=\"granted\"} 1.0")
                .contains("vanillaslip_servers_leaving_total{source=\"answer\"} 1.0")
                .contains("vanillaslip_server_pauses_total{source=\"answer\"} 1.0");
    }
}
