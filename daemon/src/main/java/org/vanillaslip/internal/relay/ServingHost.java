package org.vanillaslip.internal.relay;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;
import org.vanillaslip.internal.changes.RelayedStore;
import org.vanillaslip.internal.control.configuration.CollectionFollower;
import org.vanillaslip.internal.control.configuration.CollectionListener;
import org.vanillaslip.internal.control.configuration.HostListWatcher;
import org.vanillaslip.internal.duty.IgnoredSettings;
import org.vanillaslip.internal.duty.ServerCountController;
import org.vanillaslip.internal.duty.ServerCountDuty;
import org.vanillaslip.internal.duty.UsageRecord;
import org.vanillaslip.internal.fleet.DemandReporter;
import org.vanillaslip.internal.fleet.DrainFollower;
import org.vanillaslip.internal.fleet.FleetDirectory;
import org.vanillaslip.internal.fleet.FleetExchange;
import org.vanillaslip.internal.fleet.FleetLease;
import org.vanillaslip.internal.fleet.HealthTrackingObjectStore;
import org.vanillaslip.internal.fleet.HostRegistration;
import org.vanillaslip.internal.fleet.LoadController;
import org.vanillaslip.internal.fleet.PermitSource;
import org.vanillaslip.internal.fleet.PlanFollower;
import org.vanillaslip.internal.fleet.ServerLimitExchange;
import org.vanillaslip.internal.fleet.ServerSelector;
import org.vanillaslip.internal.fleet.ServerSpeedExchange;
import org.vanillaslip.internal.fleet.StoreAnswerHistory;
import org.vanillaslip.internal.fleet.WaitingCallQueue;
import org.vanillaslip.internal.lease.LeaseTimes;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.metrics.MeteredObjectStore;
import org.vanillaslip.internal.peer.NettyPeerLinks;
import org.vanillaslip.internal.peer.PeerTimes;
import org.vanillaslip.internal.peer.RelayNetwork;
import org.vanillaslip.internal.peer.RelayedLinks;
import org.vanillaslip.internal.platform.HostCodec;
import org.vanillaslip.internal.quarantine.PromptFaultExchange;
import org.vanillaslip.internal.quarantine.QuarantineRecord;
import org.vanillaslip.internal.quota.WorkspaceLimits;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.runtime.DecisionLoopMonitor;
import org.vanillaslip.internal.runtime.RunningDaemon;
import org.vanillaslip.internal.settings.HostSettings;
import org.vanillaslip.internal.settings.ServingSettings;
import org.vanillaslip.internal.settings.Settings;
import org.vanillaslip.internal.usage.UsageSource;
import org.vanillaslip.messages.Heartbeat;

/** Creates, starts and stops all components of a host that serves pass-through routes. */
public final class ServingHost implements RunningDaemon {

    private static final Duration START_TIMEOUT = Duration.ofSeconds(10);

    /** Changes must take effect within two seconds, also after an outage of the store. */
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(400);

    /** Part of the rate slack; the rest covers calls that hosts admit at the same time. */
    private static final double OVERDRAFT_FRACTION = 0.4;

    private final SecureRandom mSecureRandom = new SecureRandom();
    private final DaemonMetrics mMetrics =
            new DaemonMetrics(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
    private final HostSettings mHost;
    private final ServingSettings mServing;
    private final ServingEventLoop mEventLoop;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final HealthTrackingObjectStore mStore;
    private final DeploymentAdapters mAdapters;
    private final RandomGenerator mRandom;
    private final PlanFollower mPlans;
    private final DrainFollower mDrains;
    private final FleetDirectory mDirectory;
    private final HostListWatcher mHosts;
    private final String mIncarnation = ProcessIncarnation.create(mSecureRandom);
    private final NettyPeerLinks mPeerLinks;
    private final DecisionLoopMonitor mLoopMonitor;
    private final RelayNetwork mNetwork;
    private final RelayedLinks mLinks;
    private final RelayedStore mRelayedStore;
    private final HostRegistration mRegistration;
    private final WorkspaceLimits mLimits;
    private final ServerLimitExchange mServerLimits;
    private final WaitingCallQueue mWaitingCalls;
    private final FleetLease mLease;
    private final LoadController mLoadController;
    private final FleetExchange mExchange;
    private final Optional<UsageReports> mUsage;
    private final PromptFaultExchange mPromptFaults;
    private final RetryBudgets mRetryBudgets;
    private final CallRelay mRelay;
    private final ServingHttpServers mHttpServers;
    private final Optional<ServerCountController> mServerCounts;
    private volatile boolean mLeaving;

    /** Creates the components; nothing runs before {@link #start()}. */
    public ServingHost(
            Settings settings,
            ServingSettings serving,
            DeploymentAdapters adapters,
            ServingEventLoop eventLoop,
            EventLog log) {
        mHost = settings.host();
        mServing = serving;
        mEventLoop = eventLoop;
        mLoop = eventLoop.decisions();
        mLog = log;
        mAdapters = adapters;
        mRandom =
                RandomGeneratorFactory.of("L64X128MixRandom")
                        .create(mHost.randomSeed().orElseGet(mSecureRandom::nextLong));
        mLoopMonitor = new DecisionLoopMonitor(mLoop, log);
        StoreAnswerHistory storeAnswers = new StoreAnswerHistory();
        mStore =
                new HealthTrackingObjectStore(
                        new MeteredObjectStore(adapters.store(), mMetrics),
                        storeAnswers,
                        mLoop,
                        log);
        Host self = mHost.toHost();
        mNetwork = new RelayNetwork(self, this::listedHosts, mLoop.clock(), log);
        mPeerLinks = peerLinks(List.copyOf(settings.peers().bootstrap().values()));
        mLinks = new RelayedLinks(mHost.name(), mIncarnation, mPeerLinks, mNetwork, mLoop, log);
        mRelayedStore = relayedStore(storeAnswers);
        mHosts = new HostListWatcher(mRelayedStore, new HostCodec(), mLoop, mRandom, log);
        mPlans = new PlanFollower(adapters.collections(), mLoop.clock(), log);
        mDrains = new DrainFollower(adapters.collections(), mLoop, log);
        mDirectory = new FleetDirectory(adapters.collections(), mDrains, mLoop, storeAnswers, log);
        double overdraft = serving.rateSlack() * OVERDRAFT_FRACTION;
        mLimits = new WorkspaceLimits(overdraft, mLoop, mLinks, mNetwork, mRandom, log);
        mServerLimits = new ServerLimitExchange(mDirectory, mNetwork, mLinks, mLoop, mMetrics, log);
        ServerSelector selector = serverSelector();
        mWaitingCalls =
                new WaitingCallQueue(
                        selector, mLoop, settings.admission(), mMetrics::rankedCall, log);
        mLease = fleetLease();
        mRegistration =
                new HostRegistration(
                        self, mStore, mHosts, mNetwork::liveHosts, this::evictsHosts, mLoop, log);
        mLoadController = loadController(settings.placement().weightStoreParallelLoads());
        DemandReporter demandReporter = new DemandReporter(mWaitingCalls, mDirectory, mLoop);
        mExchange =
                new FleetExchange(
                        mHost.name(),
                        mLease,
                        mDirectory,
                        mLoadController,
                        demandReporter,
                        mWaitingCalls,
                        mLinks,
                        this::hostCount,
                        mLoop);
        ServerSpeedExchange.connect(
                settings.routing(), mExchange, demandReporter, mDirectory, mLoop, mMetrics, log);
        mUsage = usageReports(settings);
        mPromptFaults = promptFaults();
        mRetryBudgets = new RetryBudgets(mHost.name(), serving, mHosts, storeAnswers, mLoop, log);
        mRelay = callRelay(selector, demandReporter);
        mHttpServers = httpServers();
        mServerCounts = serverCounts(settings, demandReporter);
    }

    @Override
    public void start() {
        mHttpServers.listen().block(START_TIMEOUT);
        mPeerLinks.start().block(START_TIMEOUT);
        mLinks.start();
        mRelayedStore.start();
        mPlans.onChange(mLimits::apply);
        mDirectory.onChange(mWaitingCalls::dispatch);
        follow(mAdapters.collections().plans(), mPlans);
        follow(mAdapters.collections().drains(), mDrains);
        follow(mAdapters.collections().servers(), mDirectory);
        mRetryBudgets.start();
        // Without its links a host that has just started knows nothing of the other hosts.
        mHosts.changes()
                .doOnNext(hosts -> mLinks.refresh())
                .subscribe(hosts -> mPeerLinks.connectToMissingHosts());
        mHosts.onLost(mRegistration::restore);
        mHosts.start();
        mRegistration.start();
        mLimits.start();
        mServerLimits.start(mAdapters.engines());
        mUsage.ifPresent(usage -> mExchange.setUsage(usage.exchange()));
        mExchange.start();
        mPromptFaults.onQuarantine(mWaitingCalls::refuseCallsWith);
        mPromptFaults.start();
        mLoadController.start();
        mServerCounts.ifPresent(ServerCountController::start);
        mLease.start();
        mUsage.ifPresent(usage -> usage.reporter().start());
        mLoopMonitor.start();
    }

    /** Ends readiness first, then new connections, then waiting and running calls. */
    @Override
    public void stop() {
        mLeaving = true;
        new PlannedStop(
                        mHost,
                        mRelay,
                        mWaitingCalls,
                        mHttpServers,
                        mLease,
                        mRegistration,
                        mLoop,
                        mLog)
                .run();
        mEventLoop.group().shutdownGracefully();
    }

    private NettyPeerLinks peerLinks(List<InetSocketAddress> bootstrap) {
        return new NettyPeerLinks(
                mHost.name(),
                mIncarnation,
                mSecureRandom.nextLong() >>> 1,
                mLoop,
                mEventLoop.group(),
                mHost.peerAddress(),
                this::listedHosts,
                bootstrap,
                mNetwork,
                this::heartbeat,
                PeerTimes.DEFAULT,
                mMetrics,
                mLog);
    }

    private ServerSelector serverSelector() {
        PermitSource permits = mServerLimits.permits();
        FailureDomain ownDomain = mHost.failureDomain();
        return new ServerSelector(
                mDirectory, mPlans, ownDomain, this::hostCount, permits, mLoop, mRandom);
    }

    private FleetLease fleetLease() {
        return new FleetLease(
                mHost.name(),
                mStore,
                mLoop,
                InstantSource.system(),
                LeaseTimes.FAST_TAKEOVER,
                mServing.orderTurn(),
                () -> Long.toHexString(mSecureRandom.nextLong()),
                mNetwork::liveRelays,
                this::isLeaseCandidate,
                mLog);
    }

    /** Standby relays are candidates; without a reachable lease holder, all hosts are. */
    private boolean isLeaseCandidate() {
        return !mExchange.isLeaseHolderReachable() || mNetwork.isRelay() && mLease.isStandby();
    }

    /** Returns whether this host removes silent hosts; only relays get messages from all hosts. */
    private boolean evictsHosts() {
        return mLease.held() && mNetwork.isRelay();
    }

    private LoadController loadController(int parallelStoreLoads) {
        return new LoadController(
                mHost.name(),
                mLease,
                mDirectory,
                mPlans,
                mAdapters.engines(),
                parallelStoreLoads,
                mLoop,
                InstantSource.system(),
                mLog);
    }

    private Optional<UsageReports> usageReports(Settings settings) {
        IgnoredSettings.log(settings.duties(), mLog);
        return UsageReports.create(
                settings.duties(),
                mAdapters.dutyCalls(),
                new UsageSource(mHost.name(), mIncarnation),
                mLease,
                mStore,
                mNetwork,
                this::listedHosts,
                this::hostCount,
                mLoop,
                mMetrics,
                mLog);
    }

    private RelayedStore relayedStore(StoreAnswerHistory answers) {
        Set<String> rare = mAdapters.collections().rarelyChanging();
        return new RelayedStore(mStore, answers, rare, mNetwork, mLinks, mLoop, mLog);
    }

    private PromptFaultExchange promptFaults() {
        QuarantineRecord record = new QuarantineRecord(mStore, InstantSource.system(), mLoop, mLog);
        return new PromptFaultExchange(
                mLinks, record, mDirectory::failureDomain, mLoop, mRandom, mLog);
    }

    private CallRelay callRelay(ServerSelector selector, DemandReporter demandReporter) {
        CallSender sender =
                new CallSender(
                        new BackendRequestSender(mEventLoop.resources()),
                        mAdapters.dialect(),
                        mWaitingCalls,
                        selector,
                        mServerLimits.notices(),
                        mRetryBudgets,
                        mPromptFaults,
                        mLoop,
                        mLog);
        return new CallRelay(
                new CallAdmission(
                        mPlans, mAdapters.dialect(), mLimits, mPromptFaults, mLoop, mRandom),
                mAdapters.dialect(),
                sender,
                demandReporter,
                mUsage.map(UsageReports::meter),
                new RelayMetrics(mMetrics),
                mLoop,
                mLog);
    }

    private ServingHttpServers httpServers() {
        return new ServingHttpServers(
                mRelay,
                mEventLoop.resources(),
                mHost.gatewayAddress(),
                mServing.readinessAddress(),
                mAdapters.readinessPath(),
                this::isReady,
                mServing.metricsAddress(),
                mMetrics::scrape,
                new QuarantinePage(mPromptFaults),
                new UsagePage(mUsage.map(usage -> new UsageRecord(mStore))),
                mLog);
    }

    private Optional<ServerCountController> serverCounts(
            Settings settings, DemandReporter demandReporter) {
        return ServerCountDuty.create(
                settings.duties(),
                mAdapters.dutyCalls(),
                mHost.name(),
                mStore,
                mLease,
                mDirectory,
                mDrains,
                mPlans,
                mLoadController,
                demandReporter,
                this::listedHosts,
                mNetwork::liveHosts,
                mMetrics.serverCounts()::show,
                mLoop,
                mLog);
    }

    private void follow(String collection, CollectionListener listener) {
        new CollectionFollower(
                        mRelayedStore, collection, mLoop, mRandom, mLog, listener, MAX_RETRY_DELAY)
                .start();
    }

    private boolean isReady() {
        return !mLeaving
                && mPlans.current().isPresent()
                && mDirectory.listed()
                && mDrains.listed()
                && mLimits.knewLevels();
    }

    private List<Host> listedHosts() {
        return mHosts.hosts();
    }

    private int hostCount() {
        String self = mHost.name();
        return (int) mHosts.hosts().stream().filter(host -> !host.name().equals(self)).count() + 1;
    }

    private Heartbeat heartbeat() {
        return HostHeartbeat.of(
                mLeaving, Optional.ofNullable(mPromptFaults), Optional.ofNullable(mPlans));
    }
}
