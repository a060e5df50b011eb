package org.vanillaslip.internal.relay;

import static org.vanillaslip.internal.logging.LogField.field;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.vanillaslip.Host;
import org.vanillaslip.internal.changes.RelayedStore;
import org.vanillaslip.internal.control.configuration.CollectionFollower;
import org.vanillaslip.internal.control.configuration.CollectionListener;
import org.vanillaslip.internal.control.configuration.HostListWatcher;
import org.vanillaslip.internal.fleet.DemandBook;
import org.vanillaslip.internal.fleet.DrainFollower;
import org.vanillaslip.internal.fleet.FleetDirectory;
import org.vanillaslip.internal.fleet.FleetEvent;
import org.vanillaslip.internal.fleet.FleetExchange;
import org.vanillaslip.internal.fleet.FleetLease;
import org.vanillaslip.internal.fleet.HostRegistration;
import org.vanillaslip.internal.fleet.LoadController;
import org.vanillaslip.internal.fleet.PlanFollower;
import org.vanillaslip.internal.fleet.ServerSelector;
import org.vanillaslip.internal.fleet.StoreHealth;
import org.vanillaslip.internal.fleet.WaitingRoom;
import org.vanillaslip.internal.lease.LeaseTimes;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LifecycleEvent;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.metrics.MeteredObjectStore;
import org.vanillaslip.internal.peer.NettyPeerLinks;
import org.vanillaslip.internal.peer.PeerTimes;
import org.vanillaslip.internal.peer.RelayNetwork;
import org.vanillaslip.internal.peer.RelayedLinks;
import org.vanillaslip.internal.platform.HostCodec;
import org.vanillaslip.internal.quota.WorkspaceLimits;
import org.vanillaslip.internal.routing.RetryBudget;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.runtime.DecisionLoopMonitor;
import org.vanillaslip.internal.runtime.RunningDaemon;
import org.vanillaslip.internal.settings.HostSettings;
import org.vanillaslip.internal.settings.ServingSettings;
import org.vanillaslip.internal.settings.Settings;
import org.vanillaslip.messages.Heartbeat;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** All parts of a host that passes calls through, connected once at the start. */
public final class ServingHost implements RunningDaemon {

    private static final Duration START_TIMEOUT = Duration.ofSeconds(10);

    /** A change has to be in force within two seconds, also after an outage of the store. */
    private static final Duration LONGEST_RETRY = Duration.ofMillis(400);

    private static final Duration STOP_CHECK = Duration.ofMillis(50);

    /** Time to send the answers of interrupted calls; the platform kills a host soon after. */
    private static final Duration INTERRUPTED_ANSWERS = Duration.ofMillis(150);

    private static final Duration STOPPING_RETRY = Duration.ofMillis(100);
    private static final Duration RELEASE_TIMEOUT = Duration.ofMillis(500);
    private static final int INCARNATION_BYTES = 8;

    /** The rest of the slack is for what hosts admit at the same moment. */
    private static final double OVERDRAFT_PART = 0.4;

    /** Short, since nobody orders loads between the loss of a holder and the end of its lease. */
    private static final LeaseTimes LEASE_TIMES =
            new LeaseTimes(Duration.ofMillis(2500), 0.01, Duration.ofMillis(150));

    private final SecureRandom mIdentifiers = new SecureRandom();
    private final DaemonMetrics mMetrics =
            new DaemonMetrics(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
    private final HostSettings mHost;
    private final ServingSettings mServing;
    private final ServingLoop mServingLoop;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final StoreHealth mStore;
    private final ServingPorts mPorts;
    private final RandomGenerator mRandom;
    private final PlanFollower mPlans;
    private final DrainFollower mDrains;
    private final FleetDirectory mDirectory;
    private final HostListWatcher mHosts;
    private final String mIncarnation;
    private final NettyPeerLinks mNeighbours;
    private final DecisionLoopMonitor mWatch;
    private final RelayNetwork mNetwork;
    private final RelayedLinks mLinks;
    private final RelayedStore mChanges;
    private final HostRegistration mRegistration;
    private final WorkspaceLimits mLimits;
    private final WaitingRoom mRoom;
    private final FleetLease mLease;
    private final LoadController mController;
    private final FleetExchange mExchange;
    private final Relay mRelay;
    private final RelayServer mServer;
    private volatile boolean mLeaving;

    /** Creates the parts; nothing runs before {@link #start()}. */
    public ServingHost(
            Settings settings,
            ServingSettings serving,
            ServingPorts ports,
            ServingLoop loop,
            EventLog log) {
        mHost = settings.host();
        mServing = serving;
        mServingLoop = loop;
        mLoop = loop.decisions();
        mLog = log;
        mPorts = ports;
        mRandom =
                RandomGeneratorFactory.of("L64X128MixRandom")
                        .create(mHost.randomSeed().orElseGet(mIdentifiers::nextLong));
        mIncarnation = incarnation();
        mWatch = new DecisionLoopMonitor(mLoop, log);
        mStore = new StoreHealth(new MeteredObjectStore(ports.store(), mMetrics), mLoop, log);
        mNetwork = new RelayNetwork(self(), this::listedHosts, mLoop.clock(), log);
        mNeighbours = neighbours(List.copyOf(settings.peers().bootstrap().values()));
        mLinks = new RelayedLinks(mHost.name(), mIncarnation, mNeighbours, mNetwork, mLoop, log);
        mChanges = new RelayedStore(mStore, mStore::wasAway, mNetwork, mLinks, mLoop, log);
        mHosts = new HostListWatcher(mChanges, new HostCodec(), mLoop, mRandom, log);
        mPlans = new PlanFollower(ports.collections(), log);
        mDrains = new DrainFollower(ports.collections(), log);
        mDirectory =
                new FleetDirectory(
                        ports.collections(), mDrains, mLoop, mChanges::wasRecentlyUnavailable, log);
        double overdraft = serving.rateSlack() * OVERDRAFT_PART;
        mLimits = new WorkspaceLimits(overdraft, mLoop, mLinks, mNetwork, mRandom, log);
        ServerSelector selector =
                new ServerSelector(
                        mDirectory, mPlans, mHost.failureDomain(), this::hostCount, mLoop, mRandom);
        mRoom = new WaitingRoom(selector, mLoop, settings.admission().maxWaitingRequests());
        mLease = lease();
        mRegistration =
                new HostRegistration(
                        self(), mStore, mHosts, mNetwork::liveHosts, this::cleans, mLoop, log);
        mController = controller(settings.placement().weightStoreParallelLoads());
        DemandBook book = new DemandBook(mRoom, mDirectory, mLoop);
        mExchange =
                new FleetExchange(
                        mHost.name(),
                        mLease,
                        mDirectory,
                        mController,
                        book,
                        mRoom,
                        mLinks,
                        this::hostCount,
                        mLoop);
        mRelay = relay(selector, book);
        mServer = server();
    }

    @Override
    public void start() {
        mServer.start().block(START_TIMEOUT);
        mNeighbours.start().block(START_TIMEOUT);
        mLinks.start();
        mChanges.start();
        mPlans.onChange(mLimits::apply);
        mDirectory.onChange(mRoom::pump);
        follow(mPorts.collections().plans(), mPlans);
        follow(mPorts.collections().drains(), mDrains);
        follow(mPorts.collections().servers(), mDirectory);
        mHosts.start();
        mRegistration.start();
        mLimits.start();
        mExchange.start();
        mController.start();
        mLease.start();
        mWatch.start();
    }

    /** Readiness first, then new connections, then waiting and running calls. */
    @Override
    public void stop() {
        mLeaving = true;
        mRelay.stopping();
        mLog.log(LifecycleEvent.STOPPING, field("active", mRelay.active()));
        Duration rest = mHost.shutdownTimeout();
        mLease.release().subscribe();
        Mono.delay(mHost.shutdownDelay(), mLoop.scheduler())
                .doOnNext(
                        tick -> {
                            mServer.stopAccepting();
                            mRelay.refuseNew();
                        })
                .then(finish(rest))
                .then(mRegistration.stop().timeout(RELEASE_TIMEOUT).onErrorComplete(this::noteStop))
                .block(mHost.shutdownDelay().plus(rest).plus(RELEASE_TIMEOUT.multipliedBy(2)));
        mServingLoop.group().shutdownGracefully();
    }

    /** Other hosts take a silent host out of the list, so a failed stop ends all the same. */
    private boolean noteStop(Throwable error) {
        mLog.log(FleetEvent.REGISTRATION_FAILED, field("cause", error.toString()));
        return true;
    }

    private String incarnation() {
        byte[] incarnation = new byte[INCARNATION_BYTES];
        mIdentifiers.nextBytes(incarnation);
        return HexFormat.of().formatHex(incarnation);
    }

    private NettyPeerLinks neighbours(List<InetSocketAddress> bootstrap) {
        return new NettyPeerLinks(
                mHost.name(),
                mIncarnation,
                mIdentifiers.nextLong() >>> 1,
                mLoop,
                mServingLoop.group(),
                mHost.peerAddress(),
                this::listedHosts,
                bootstrap,
                mNetwork,
                this::heartbeat,
                PeerTimes.DEFAULT,
                mMetrics,
                mLog);
    }

    private Host self() {
        InetSocketAddress address = mHost.peerAddress();
        return new Host(
                mHost.name(),
                mHost.failureDomain(),
                address.getHostString() + ":" + address.getPort(),
                false);
    }

    private FleetLease lease() {
        return new FleetLease(
                mHost.name(),
                mStore,
                mLoop,
                InstantSource.system(),
                LEASE_TIMES,
                mServing.orderTurn(),
                () -> Long.toHexString(mIdentifiers.nextLong()),
                mNetwork::liveRelays,
                this::ordersNext,
                mLog);
    }

    /** The first relays; all hosts look at the lease when no holder is heard from. */
    private boolean ordersNext() {
        return !mExchange.planned() || mNetwork.isRelay() && mLease.standsBy();
    }

    /** Only a relay hears of all hosts. */
    private boolean cleans() {
        return mLease.held() && mNetwork.isRelay();
    }

    private LoadController controller(int storeLoads) {
        return new LoadController(
                mHost.name(),
                mLease,
                mDirectory,
                mPlans,
                mPorts.engines(),
                storeLoads,
                mLoop,
                InstantSource.system(),
                mLog);
    }

    private Relay relay(ServerSelector selector, DemandBook book) {
        CallSender sender =
                new CallSender(
                        new BackendSend(mServingLoop.resources()),
                        mPorts.dialect(),
                        mRoom,
                        selector,
                        this::retryBudget,
                        mLoop,
                        mLog);
        return new Relay(
                new CallAdmission(mPlans, mPorts.dialect(), mLimits, mLoop, mRandom),
                mPorts.dialect(),
                sender,
                book,
                new RelayMeter(mMetrics),
                mWatch::isBehind,
                mLoop,
                mLog);
    }

    private RelayServer server() {
        return new RelayServer(
                mRelay,
                mServingLoop.resources(),
                mHost.gatewayAddress(),
                mServing.readinessAddress(),
                mPorts.readinessPath(),
                this::ready,
                mServing.metricsAddress(),
                mMetrics::scrape,
                mLog);
    }

    private Mono<Void> finish(Duration bound) {
        Mono<Long> waitingEnds =
                Mono.delay(bound.dividedBy(2), mLoop.scheduler())
                        .doOnNext(tick -> mRoom.refuseAll(STOPPING_RETRY));
        Mono<Void> idle =
                Flux.interval(Duration.ZERO, STOP_CHECK, mLoop.scheduler())
                        .filter(tick -> mRelay.active() == 0)
                        .next()
                        .then();
        Mono<Void> late =
                Mono.delay(bound, mLoop.scheduler())
                        .doOnNext(tick -> interrupt())
                        .then(Mono.delay(INTERRUPTED_ANSWERS, mLoop.scheduler()))
                        .then();
        return Mono.firstWithSignal(idle, late)
                .doOnSubscribe(
                        started -> {
                            mLog.log(LifecycleEvent.REFUSING, field("active", mRelay.active()));
                            waitingEnds.subscribe();
                        });
    }

    private void interrupt() {
        mLog.log(LifecycleEvent.STOP_INCOMPLETE, field("unfinished", mRelay.active()));
        mRelay.interrupt();
    }

    private void follow(String collection, CollectionListener listener) {
        new CollectionFollower(mChanges, collection, mLoop, mRandom, mLog, listener, LONGEST_RETRY)
                .start();
    }

    private boolean ready() {
        return !mLeaving && mPlans.current().isPresent() && mDirectory.listed() && mDrains.listed();
    }

    private List<Host> listedHosts() {
        return mHosts.hosts();
    }

    private int hostCount() {
        long others =
                mHosts.hosts().stream().filter(host -> !host.name().equals(mHost.name())).count();
        return (int) others + 1;
    }

    /** Each host has an equal part of the sends beyond the ratio. */
    private RetryBudget retryBudget() {
        return new RetryBudget(
                requests ->
                        (long)
                                (mServing.retryRatio() * requests
                                        + mServing.retryExtra() / hostCount()),
                mServing.retryWindow());
    }

    private Heartbeat heartbeat() {
        return Heartbeat.newBuilder()
                .setLeaving(mLeaving)
                .setConfigurationVersion(
                        Optional.ofNullable(mPlans)
                                .flatMap(PlanFollower::current)
                                .map(plan -> plan.version())
                                .orElse(0L))
                .build();
    }
}
