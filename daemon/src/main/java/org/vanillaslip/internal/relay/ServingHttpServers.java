package org.vanillaslip.internal.relay;

import static org.vanillaslip.internal.logging.LogField.field;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LifecycleEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

/** HTTP servers of a serving host: for callers, readiness and metrics. */
final class ServingHttpServers {

    private static final String METRICS_PATH = "/metrics";

    /** Callers reuse connections for almost as long as the configuration allows. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private final CallRelay mRelay;
    private final LoopResources mEventLoop;
    private final InetSocketAddress mAddress;
    private final TextPageServer mReadiness;
    private final TextPageServer mMetrics;
    private final EventLog mLog;
    private final List<DisposableServer> mServers = new ArrayList<>();

    ServingHttpServers(
            CallRelay relay,
            LoopResources eventLoop,
            InetSocketAddress address,
            InetSocketAddress readinessAddress,
            String readinessPath,
            BooleanSupplier ready,
            InetSocketAddress metricsAddress,
            Supplier<String> metrics,
            QuarantinePage quarantine,
            UsagePage usage,
            EventLog log) {
        mRelay = relay;
        mEventLoop = eventLoop;
        mAddress = address;
        mReadiness =
                new TextPageServer(
                        readinessAddress,
                        Map.of(
                                readinessPath,
                                request ->
                                        Mono.just(
                                                ready.getAsBoolean()
                                                        ? new TextPageServer.Page(200, "ready\n")
                                                        : new TextPageServer.Page(
                                                                503, "not ready\n"))),
                        eventLoop);
        mMetrics =
                new TextPageServer(
                        metricsAddress,
                        Map.of(
                                METRICS_PATH,
                                request -> Mono.just(new TextPageServer.Page(200, metrics.get())),
                                QuarantinePage.PATH,
                                request -> Mono.just(quarantine.handle(request)),
                                UsagePage.PATH,
                                usage::handle),
                        eventLoop);
        mLog = log;
    }

    /** Binds the ports and starts to listen. */
    Mono<Void> listen() {
        Mono<? extends DisposableServer> callerServer =
                HttpServer.create()
                        .runOn(mEventLoop)
                        .bindAddress(() -> mAddress)
                        .idleTimeout(IDLE_TIMEOUT)
                        .doOnChannelInit(
                                (observer, channel, remote) -> StrictRequestCodec.install(channel))
                        .handle(mRelay::handle)
                        .bind();
        return Flux.<DisposableServer>concat(callerServer, mReadiness.start(), mMetrics.start())
                .doOnNext(
                        server -> {
                            mServers.add(server);
                            mLog.log(LifecycleEvent.LISTENING, field("address", server.address()));
                        })
                .then();
    }

    /** Stops accepting connections from callers; open connections continue. */
    void stopAccepting() {
        if (!mServers.isEmpty()) {
            mServers.get(0).dispose();
        }
    }
}
