package org.vanillaslip.internal.runtime;

import static org.vanillaslip.internal.logging.LogField.field;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Ticker;
import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.vanillaslip.internal.backend.EngineClient;
import org.vanillaslip.internal.control.ConfigurationView;
import org.vanillaslip.internal.control.HostView;
import org.vanillaslip.internal.control.PlacementView;
import org.vanillaslip.internal.control.configuration.ConfigurationEvent;
import org.vanillaslip.internal.control.configuration.ConfigurationExchange;
import org.vanillaslip.internal.control.configuration.ConfigurationWatcher;
import org.vanillaslip.internal.control.configuration.HostListWatcher;
import org.vanillaslip.internal.control.placement.PlacementController;
import org.vanillaslip.internal.gateway.Gateway;
import org.vanillaslip.internal.gateway.GatewayDependencies;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LifecycleEvent;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.metrics.MeteredObjectStore;
import org.vanillaslip.internal.metrics.MeteredPeerLinks;
import org.vanillaslip.internal.metrics.MeteredPlacement;
import org.vanillaslip.internal.peer.LinkPolicy;
import org.vanillaslip.internal.peer.NettyPeerLinks;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.peer.PeerTimes;
import org.vanillaslip.internal.platform.BudgetedObjectStore;
import org.vanillaslip.internal.platform.CallBudget;
import org.vanillaslip.internal.platform.ConfigurationCodec;
import org.vanillaslip.internal.platform.HostCodec;
import org.vanillaslip.internal.platform.HttpObjectStore;
import org.vanillaslip.internal.platform.JsonLimits;
import org.vanillaslip.internal.platform.ObjectJsonCodec;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.quota.QuotaService;
import org.vanillaslip.internal.quota.QuotaTimes;
import org.vanillaslip.internal.quota.ShareTableController;
import org.vanillaslip.internal.quota.SlotService;
import org.vanillaslip.internal.settings.HostSettings;
import org.vanillaslip.internal.settings.PlatformSettings;
import org.vanillaslip.internal.settings.Settings;
import org.vanillaslip.messages.Heartbeat;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;

/** Creates, connects, starts and stops the components of a host. */
public final class Daemon implements RunningDaemon {

    private static final int PEER_IO_THREADS = 1;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration ENGINE_TIMEOUT = Duration.ofSeconds(2);

    /** Time to release leases and borrowed tokens after the last request. */
    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(4);

    /** Share of the platform call budget that is reserved for watches and lease writes. */
    private static final double RESERVED_CALL_SHARE = 0.25;

    private final Settings mSettings;
    private final EventLog mLog;
    private final Scheduler mScheduler = Schedulers.newSingle("decisions");
    private final EventLoopGroup mPeerGroup =
            new MultiThreadIoEventLoopGroup(PEER_IO_THREADS, NioIoHandler.newFactory());
    private final Disposable.Composite mSubscriptions = Disposables.composite();
    private final HostListWatcher mHostList;
    private final ConfigurationWatcher mConfiguration;
    private final NettyPeerLinks mPeerLinks;
    private final ConfigurationExchange mConfigurationExchange;
    private final PlacementController mPlacement;
    private final ShareTableController mShares;
    private final QuotaService mQuota;
    private final SlotService mSlots;
    private final Gateway mGateway;
    private volatile boolean mLeaving;

    /** Creates the components without starting them. */
    public Daemon(Settings settings, EventLog log) {
        mSettings = settings;
        mLog = log;
        DecisionLoop loop = new DecisionLoop(mScheduler, Ticker.systemTicker()::nanoTime);
        RandomGenerator random = createRandom(settings.host());
        DaemonMetrics metrics =
                new DaemonMetrics(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
        ObjectStore store = new MeteredObjectStore(createStore(settings, loop, log), metrics);
        HostContext context =
                new HostContext(settings, loop, store, random, new Identifiers(), metrics, log);
        ConfigurationCodec codec = new ConfigurationCodec();
        mHostList = new HostListWatcher(store, new HostCodec(), loop, random, log);
        mConfiguration = new ConfigurationWatcher(store, codec, loop, random, log);
        mPeerLinks = createPeerLinks(context);
        mConfigurationExchange =
                new ConfigurationExchange(
                        mConfiguration,
                        codec,
                        mHostList,
                        mPeerLinks,
                        context.failureDomain(),
                        loop,
                        random,
                        log);
        mPlacement = createPlacement(context, mConfiguration, mHostList, mPeerLinks);
        mShares = createShares(context, mConfiguration, mHostList, mPeerLinks, mPlacement);
        mQuota = createQuota(context, mConfiguration, mPeerLinks, mShares);
        mSlots = createSlots(context, mConfiguration, mHostList, mPeerLinks, mPlacement);
        mGateway = createGateway(context, mConfiguration, mPlacement, mPeerLinks, mQuota, mSlots);
    }

    @Override
    public void start() {
        mGateway.start().block(START_TIMEOUT);
        mLog.log(LifecycleEvent.LISTENING, field("address", mGateway.address()));
        mSubscriptions.add(mHostList.start());
        mSubscriptions.add(mConfiguration.start());
        mSubscriptions.add(mConfigurationExchange.start());
        mPlacement.start();
        mSubscriptions.add(mShares.start(mQuota::fitsShare));
        mQuota.start();
        mSlots.start();
        mPeerLinks.start().block(START_TIMEOUT);
    }

    /** Stops serving callers first, then releases borrowed tokens and leases, then closes links. */
    @Override
    public void stop() {
        mLeaving = true;
        HostSettings host = mSettings.host();
        mGateway.stop().block(host.shutdownTimeout().plus(RELEASE_TIMEOUT));
        mQuota.stop();
        mPlacement.stop().block(RELEASE_TIMEOUT);
        mSubscriptions.dispose();
        mPeerLinks.stop();
        mPeerGroup.shutdownGracefully();
        mScheduler.dispose();
    }

    private static RandomGenerator createRandom(HostSettings host) {
        long seed = host.randomSeed().orElseGet(() -> new Identifiers().nextNumber());
        return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    private static ObjectStore createStore(Settings settings, DecisionLoop loop, EventLog log) {
        PlatformSettings platform = settings.platform();
        String address = platform.address().getHostString() + ":" + platform.address().getPort();
        double callsPerSecond = platform.callsPerSecond();
        CallBudget budget =
                new CallBudget(
                        loop.clock(),
                        callsPerSecond,
                        callsPerSecond,
                        callsPerSecond * RESERVED_CALL_SHARE);
        HttpObjectStore store =
                new HttpObjectStore(
                        HttpClient.create(),
                        "http://" + address,
                        settings.failureDomain().name(),
                        new ObjectJsonCodec(JsonLimits.storedValues()),
                        platform.requestTimeout(),
                        loop.scheduler(),
                        budget::pause,
                        fault ->
                                log.log(
                                        ConfigurationEvent.ANSWER_UNREADABLE,
                                        field("fault", String.valueOf(fault.getMessage()))));
        return new BudgetedObjectStore(store, budget);
    }

    private NettyPeerLinks createPeerLinks(HostContext context) {
        return new NettyPeerLinks(
                context.name(),
                context.identifiers().nextIdentifier(),
                context.identifiers().nextNumber(),
                context.loop(),
                mPeerGroup,
                mSettings.host().peerAddress(),
                mHostList::hosts,
                List.copyOf(mSettings.peers().bootstrap().values()),
                LinkPolicy.fullMesh(context.name()),
                this::heartbeat,
                PeerTimes.DEFAULT,
                context.metrics(),
                mLog);
    }

    private static PlacementController createPlacement(
            HostContext context, ConfigurationView configuration, HostView hosts, PeerLinks links) {
        return new PlacementController(
                context.loop(),
                context.name(),
                context.failureDomain(),
                PolicySettings.placement(context.settings()),
                configuration,
                hosts,
                context.store(),
                links,
                new EngineClient(HttpClient.create(), ENGINE_TIMEOUT),
                context.log(),
                context.identifiers().randomGenerator());
    }

    private static ShareTableController createShares(
            HostContext context,
            ConfigurationView configuration,
            HostView hosts,
            PeerLinks links,
            PlacementView placement) {
        return new ShareTableController(
                context.name(),
                context.failureDomain(),
                context.loop(),
                configuration,
                hosts,
                placement,
                context.store(),
                links,
                context.random(),
                context.log());
    }

    private static QuotaService createQuota(
            HostContext context,
            ConfigurationView configuration,
            PeerLinks links,
            ShareTableController shares) {
        return new QuotaService(
                context.name(),
                context.loop(),
                configuration,
                new MeteredPeerLinks(links, context.metrics()),
                shares,
                QuotaTimes.DEFAULT,
                context.identifiers()::nextNumber,
                context.log());
    }

    private static SlotService createSlots(
            HostContext context,
            ConfigurationView configuration,
            HostView hosts,
            PeerLinks links,
            PlacementView placement) {
        return new SlotService(
                context.name(),
                context.loop(),
                configuration,
                hosts,
                placement,
                links,
                context.identifiers()::nextNumber,
                context.log());
    }

    private static Gateway createGateway(
            HostContext context,
            ConfigurationView configuration,
            PlacementView placement,
            PeerLinks links,
            QuotaService quota,
            SlotService slots) {
        return new Gateway(
                PolicySettings.gateway(context.settings()),
                new GatewayDependencies(
                        configuration,
                        new MeteredPlacement(placement, context.loop().clock(), context.metrics()),
                        links::liveHosts,
                        quota,
                        slots,
                        context.store(),
                        context.loop(),
                        context.random(),
                        context.identifiers()::nextIdentifier,
                        context.metrics(),
                        context.log()));
    }

    private Heartbeat heartbeat() {
        return Heartbeat.newBuilder()
                .setLeaving(mLeaving)
                .setConfigurationVersion(mConfiguration.version())
                .build();
    }
}
