package org.vanillaslip.internal.control.placement;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.ModelName;
import org.vanillaslip.Refusal;
import org.vanillaslip.internal.backend.EngineClient;
import org.vanillaslip.internal.backend.EngineStatus;
import org.vanillaslip.internal.backend.OrderOutcome;
import org.vanillaslip.internal.backend.StatusPoller;
import org.vanillaslip.internal.control.ConfigurationView;
import org.vanillaslip.internal.control.HostView;
import org.vanillaslip.internal.control.PlacementView;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.internal.control.ServerLoad;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.placement.Order;
import org.vanillaslip.internal.placement.Placement;
import org.vanillaslip.internal.placement.PlacementSettings;
import org.vanillaslip.internal.placement.ShardEvent;
import org.vanillaslip.internal.placement.ShardRecord;
import org.vanillaslip.internal.placement.ShardStateMachine;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.PlacementDigest;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Runs the control shards of this host's failure domain and tracks the models loaded in it. */
public final class PlacementController implements PlacementView, ShardActionHandler {

    private static final Duration DIGEST_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(3);

    private final DecisionLoop mLoop;
    private final ShardContexts mContexts;
    private final ShardStore mStore;
    private final PlacementJsonCodec mCodec = new PlacementJsonCodec();
    private final ShardStateMachine mStateMachine;
    private final PeerLinks mPeers;
    private final EngineClient mEngineClient;
    private final PlacementLog mLog;
    private final StatusPoller mPoller;
    private final DigestExchange mDigests;
    private final ActivationService mActivations;
    private final ServerLoadTable mServerLoads = new ServerLoadTable();
    private final Map<String, EngineStatus> mStatuses = new HashMap<>();
    private final ShardTable mShards;
    private final Sinks.Many<ModelName> mChanges = Sinks.many().multicast().directBestEffort();
    private final ReplicaTable mReplicas;
    private final RemoteReplicas mRemoteReplicas;
    private final Disposable.Composite mTasks = Disposables.composite();
    private long mPollTicks;

    /**
     * Creates a controller; nothing happens before {@link #start()}.
     *
     * @param host name of this host
     * @param failureDomain failure domain of this host
     * @param random generates write nonces, which must differ between hosts and restarts
     */
    public PlacementController(
            DecisionLoop loop,
            String host,
            FailureDomain failureDomain,
            PlacementSettings settings,
            ConfigurationView configuration,
            HostView hosts,
            ObjectStore store,
            PeerLinks peers,
            EngineClient engineClient,
            EventLog log,
            RandomGenerator random) {
        mLoop = loop;
        mContexts = new ShardContexts(host, failureDomain, settings, configuration, hosts);
        mStore = new ShardStore(store, loop, mCodec);
        mStateMachine = new ShardStateMachine(random);
        mPeers = peers;
        mEngineClient = engineClient;
        mLog = new PlacementLog(log);
        mPoller = new StatusPoller(loop, engineClient, this::onEngineStatus);
        mDigests = new DigestExchange(peers, mContexts, mCodec, mServerLoads);
        mShards = new ShardTable(mContexts, this::createRuntime);
        mReplicas = new ReplicaTable(this::onReplicasChanged);
        mRemoteReplicas = new RemoteReplicas(mShards::server, mServerLoads);
        mActivations =
                new ActivationService(
                        loop,
                        mContexts,
                        mShards,
                        peers,
                        shard -> isSilentFor(shard, OfflineOrderSelector.HOLDER_SILENCE),
                        server -> Optional.ofNullable(mStatuses.get(server)),
                        this::sendOfflineOrder,
                        new RemoteDomainClient(mContexts, peers, mRemoteReplicas, this::now, mLog),
                        new LoadedReplicas(mReplicas::replicas, this::load, this::holder));
    }

    /** Registers message handlers and starts the periodic work on the decision loop. */
    public void start() {
        mPeers.handle(Envelope.BodyCase.ACTIVATION_REQUEST, mActivations::handle);
        mPeers.handle(Envelope.BodyCase.PLACEMENT_DIGEST, this::handleDigest);
        schedulePeriodically(PollIntervals.TICK, this::poll);
        schedulePeriodically(Duration.ofMillis(250), this::tick);
        schedulePeriodically(RequestLifetime.EXCHANGE_INTERVAL, this::publishDigestsAndSendDemand);
    }

    /** Releases the leases of this host; completes when they are released or after a timeout. */
    public Mono<Void> stop() {
        return Mono.fromRunnable(() -> mShards.forEach((name, shard) -> shard.stop()))
                .subscribeOn(mLoop.scheduler())
                .thenMany(Flux.interval(Duration.ofMillis(50), mLoop.scheduler()))
                .takeUntil(tick -> mShards.holdsNoLease())
                .take(STOP_TIMEOUT, mLoop.scheduler())
                .doFinally(signal -> mTasks.dispose())
                .then();
    }

    @Override
    public List<Replica> replicas(ModelName model) {
        List<Replica> local = mReplicas.replicas(model);
        List<Replica> remote = mRemoteReplicas.replicas(model, now());
        return remote.isEmpty() ? local : Stream.concat(local.stream(), remote.stream()).toList();
    }

    @Override
    public Mono<Either<Refusal, Duration>> activate(ModelName model, Duration wait) {
        return Mono.defer(() -> mActivations.activate(model, wait));
    }

    @Override
    public void withdraw(ModelName model) {
        mActivations.withdraw(model);
    }

    @Override
    public void recordArrival(ModelName model) {
        mActivations.recordArrival(model);
    }

    @Override
    public Flux<ModelName> changes() {
        return mChanges.asFlux();
    }

    @Override
    public Optional<ServerLoad> load(String server) {
        return mServerLoads.load(server, now());
    }

    @Override
    public Optional<String> holder(String shard) {
        return mShards.find(shard)
                .flatMap(ShardRuntime::holder)
                .or(() -> mRemoteReplicas.holder(shard));
    }

    @Override
    public void sendOrder(Order order) {
        mShards.server(order.server())
                .ifPresent(
                        server ->
                                mEngineClient
                                        .sendOrder(server, order)
                                        .publishOn(mLoop.scheduler())
                                        .subscribe(
                                                outcome ->
                                                        onOrderAnswered(server, order, outcome)));
    }

    private void onOrderAnswered(BackendServer server, Order order, OrderOutcome outcome) {
        if (outcome == OrderOutcome.ACCEPTED) {
            mShards.getOrCreate(server.controlShard()).onOrderAccepted(order);
        }
        mPoller.pollIfDue(server, PollIntervals.TICK);
    }

    @Override
    public void publishRecord(String shard, long version, ShardRecord record) {
        publishDigest(shard, version, record, mShards.getOrCreate(shard));
        mReplicas.put(shard, record);
        rebuildReplicas();
    }

    @Override
    public void logEvent(ShardEvent event) {
        mLog.logEvent(event);
    }

    @Override
    public void logUnreadableRecord(String shard, long version) {
        mLog.logUnreadableRecord(shard, version);
    }

    private Mono<Envelope.Builder> handleDigest(Envelope envelope) {
        PlacementDigest digest = envelope.getPlacementDigest();
        Optional<ShardRuntime> shardOfDigest = mShards.find(digest.getShard());
        if (shardOfDigest.isEmpty()) {
            return Mono.empty();
        }
        ShardRuntime shard = shardOfDigest.get();
        if (digest.getRecordJson().isEmpty()) {
            shard.onVersionConfirmed(envelope.getSender(), digest.getVersion());
            return Mono.empty();
        }
        mDigests.receive(digest, now())
                .ifPresent(
                        body -> {
                            if (body.record() != null) {
                                shard.onDigest(digest.getVersion(), body.record());
                            }
                            // A digest omits a record that this host confirmed before a restart;
                            // the shard has read it from the store.
                            mReplicas.put(digest.getShard(), shard.record());
                            mDigests.sendConfirmation(
                                    envelope.getSender(), digest.getShard(), shard.version());
                            rebuildReplicas();
                        });
        return Mono.empty();
    }

    private void publishDigest(String name, long version, ShardRecord record, ShardRuntime shard) {
        mDigests.publish(name, version, record, host -> shard.hasConfirmed(host, version), now());
    }

    private void onEngineStatus(EngineStatus status) {
        long requestedNanos = status.report().requestedNanos();
        String name = status.report().server();
        mServerLoads.put(name, status.load(), requestedNanos);
        mStatuses.put(name, status);
        mReplicas.put(status);
        mShards.server(name)
                .filter(server -> server.kind() == BackendKind.MODEL_ENGINE)
                .ifPresent(
                        server ->
                                mShards.getOrCreate(server.controlShard())
                                        .onServerReport(status.report()));
        rebuildReplicas();
    }

    private void poll() {
        Set<String> withUnresolvedOrders = new HashSet<>();
        mShards.forEach(
                (name, shard) -> addServersWithUnresolvedOrders(shard, withUnresolvedOrders));
        mPollTicks++;
        if (withUnresolvedOrders.isEmpty()
                && mPollTicks % PollIntervals.TICKS_PER_IDLE_CHECK != 0) {
            return;
        }
        mContexts.configuration().stream()
                .flatMap(configuration -> configuration.backendServers().values().stream())
                .filter(server -> mShards.find(server.controlShard()).isPresent())
                .forEach(server -> poll(server, withUnresolvedOrders.contains(server.name())));
    }

    /** Adds the servers with an order of this holder whose outcome is unknown. */
    private static void addServersWithUnresolvedOrders(ShardRuntime shard, Set<String> servers) {
        if (shard.holdsLease()) {
            shard.record().placements().stream()
                    .filter(Placement::unresolved)
                    .map(Placement::server)
                    .forEach(servers::add);
        }
    }

    private void poll(BackendServer server, boolean hasUnresolvedOrder) {
        ShardRuntime shard = mShards.getOrCreate(server.controlShard());
        if (shard.holdsLease()) {
            mPoller.pollIfDue(server, PollIntervals.interval(hasUnresolvedOrder));
        } else if (isSilentFor(server.controlShard(), DIGEST_TIMEOUT)) {
            mPoller.pollIfDue(server, PollIntervals.WITHOUT_HOLDER);
        }
    }

    private void tick() {
        mContexts.shards().forEach(shard -> mShards.getOrCreate(shard).tick());
        rebuildReplicas();
    }

    private void publishDigestsAndSendDemand() {
        mShards.forEach(
                (name, shard) -> {
                    if (shard.holdsLease()) {
                        publishDigest(name, shard.version(), shard.record(), shard);
                        shard.onVersionConfirmed(mContexts.host(), shard.version());
                    }
                });
        mActivations.sendDemand();
        mRemoteReplicas.removeExpired(now());
    }

    private void rebuildReplicas() {
        Set<String> currentShards = new HashSet<>();
        mShards.forEach(
                (name, shard) -> {
                    if (shard.holdsLease() || !isSilentFor(name, DIGEST_TIMEOUT)) {
                        currentShards.add(name);
                    }
                });
        mContexts
                .configuration()
                .ifPresent(
                        configuration ->
                                mReplicas.rebuild(configuration, mServerLoads, currentShards));
    }

    private void onReplicasChanged(ModelName model) {
        if (!mReplicas.replicas(model).isEmpty()) {
            mActivations.onModelLoaded(model);
        }
        mChanges.tryEmitNext(model);
    }

    private void sendOfflineOrder(Order order) {
        mLog.logOfflineOrder(order);
        sendOrder(order);
    }

    private boolean isSilentFor(String shard, Duration duration) {
        return mDigests.silentNanos(shard, now()) > duration.toNanos();
    }

    private ShardRuntime createRuntime(String shard) {
        return new ShardRuntime(
                shard, mLoop, mStateMachine, mStore, mCodec, () -> mContexts.of(shard), this);
    }

    private void schedulePeriodically(Duration interval, Runnable task) {
        long millis = interval.toMillis();
        mTasks.add(mLoop.scheduler().schedulePeriodically(task, 0, millis, TimeUnit.MILLISECONDS));
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
