package org.vanillaslip.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.ConfigurationDigest;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.Heartbeat;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** Tests the TCP transport: connecting to a bootstrap address and replacing silent connections. */
@Timeout(20)
class NettyPeerLinksTest {

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Scheduler mScheduler = Schedulers.newSingle("decisions");
    private final DaemonMetrics mMetrics =
            new DaemonMetrics(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
    private final CountDownLatch mLinkSilent = new CountDownLatch(1);
    private final CountDownLatch mLinksUp = new CountDownLatch(2);

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        mScheduler.dispose();
    }

    @Test
    void hostsConnectedThroughABootstrapAddressExchangeRequests() throws Exception {
        NettyPeerLinks one = links("one", List.of());
        one.handle(
                Envelope.BodyCase.CONFIGURATION_DIGEST,
                request ->
                        Mono.just(
                                Envelope.newBuilder()
                                        .setConfigurationDigest(request.getConfigurationDigest())));
        InetSocketAddress address = one.start().block();
        NettyPeerLinks two = links("two", List.of(address));
        two.start().block();
        assertThat(mLinksUp.await(10, TimeUnit.SECONDS)).isTrue();
        Envelope.Builder digest =
                Envelope.newBuilder()
                        .setConfigurationDigest(ConfigurationDigest.newBuilder().setVersion(7));
        Envelope reply = two.request("one", digest, Duration.ofSeconds(5)).block().get();
        assertThat(reply.getConfigurationDigest().getVersion()).isEqualTo(7);
        assertThat(reply.getSender()).isEqualTo("one");
        assertThat(mMetrics.scrape())
                .contains("{body=\"configuration_digest\",direction=\"sent\"} 2.0")
                .contains("{body=\"configuration_digest\",direction=\"received\"} 2.0")
                .contains("{body=\"heartbeat\",direction=\"received\"}");
        one.stop();
        two.stop();
    }

    @Test
    void silentConnectionIsDroppedAndReplaced() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            NettyPeerLinks links =
                    links(
                            "one",
                            List.of(new InetSocketAddress("127.0.0.1", silent.getLocalPort())));
            links.start().block();
            try (Socket first = silent.accept()) {
                InputStream heartbeats = first.getInputStream();
                while (heartbeats.read() >= 0) {
                    continue;
                }
                assertThat(mLinkSilent.await(10, TimeUnit.SECONDS)).isTrue();
            }
            silent.accept().close();
            links.stop();
        }
    }

    private NettyPeerLinks links(String host, List<InetSocketAddress> bootstrap) {
        return new NettyPeerLinks(
                host,
                host + "-1",
                1,
                new DecisionLoop(mScheduler, System::nanoTime),
                mGroup,
                new InetSocketAddress("127.0.0.1", 0),
                List::of,
                bootstrap,
                LinkPolicy.fullMesh(host),
                Heartbeat::getDefaultInstance,
                new PeerTimes(Duration.ofMillis(100), Duration.ofMillis(300)),
                mMetrics,
                (event, fields) -> {
                    if (event == PeerEvent.LINK_SILENT) {
                        mLinkSilent.countDown();
                    } else if (event == PeerEvent.LINK_UP) {
                        mLinksUp.countDown();
                    }
                });
    }
}
