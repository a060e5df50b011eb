package org.vanillaslip.internal.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.peer.FakePeerNetwork;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.standins.platform.CallCounts;
import org.vanillaslip.internal.standins.platform.InProcessObjectStore;
import org.vanillaslip.internal.standins.platform.ObjectStorage;
import org.vanillaslip.internal.standins.platform.PlatformFaults;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.QuotaGrant;
import org.vanillaslip.messages.QuotaRequest;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Guards against platform calls and lent tokens that no metric counts. */
class MeteredCallsTest {

    private final DaemonMetrics mMetrics =
            new DaemonMetrics(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));

    @Test
    void countsPlatformCallsByKindAndResult() {
        VirtualTimeScheduler time = VirtualTimeScheduler.create();
        PlatformFaults faults = new PlatformFaults();
        ObjectStore store =
                new MeteredObjectStore(
                        new InProcessObjectStore(
                                new ObjectStorage(10), faults, new CallCounts(), time, "north"),
                        mMetrics);
        store.read("c", "missing").block();
        store.list("c").block();
        store.watch("c", 0).subscribe().dispose();
        faults.setSilentWatches(true);
        store.watch("c", 0).subscribe(event -> {}, cause -> {});
        time.advanceTimeBy(Duration.ofSeconds(20));

        assertThat(mMetrics.scrape())
                .contains("{kind=\"read\",result=\"not_found\"} 1.0")
                .contains("{kind=\"list\",result=\"ok\"} 1.0")
                .contains("{kind=\"watch\",result=\"ok\"} 1.0")
                .contains("{kind=\"watch\",result=\"silent\"} 1.0");
    }

    @Test
    void countsLentAndBorrowedTokens() {
        FakePeerNetwork network = new FakePeerNetwork(7);
        PeerLinks owner = new MeteredPeerLinks(network.addHost("owner"), mMetrics);
        PeerLinks borrower = new MeteredPeerLinks(network.addHost("borrower"), mMetrics);
        owner.handle(
                Envelope.BodyCase.QUOTA_REQUEST,
                request ->
                        Mono.just(
                                Envelope.newBuilder()
                                        .setQuotaGrant(
                                                QuotaGrant.newBuilder().setTokens(2_500_000))));
        network.advanceTime(Duration.ofSeconds(2));
        Envelope.Builder request =
                Envelope.newBuilder()
                        .setQuotaRequest(QuotaRequest.newBuilder().setLimit("workspace/builder"));
        borrower.request("owner", request, Duration.ofSeconds(1)).subscribe();
        network.advanceTime(Duration.ofSeconds(2));

        assertThat(mMetrics.scrape())
                .contains("tokens_granted_total{limit=\"workspace_rate\"} 2.5")
                .contains("tokens_borrowed_total{limit=\"workspace_rate\"} 2.5");
    }
}
