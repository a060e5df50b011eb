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

/** Runs the control shards of this host's failure domain and knows what is loaded in it. */
public final class PlacementController implements PlacementView, ShardListener {

    private static final Duration DIGEST_SILENCE = Duration.ofSeconds(5);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(3);

    private final DecisionLoop mLoop;
    private final ShardContexts mContexts;
    private final ShardStore mStore;
    private final RecordJson mJson = new RecordJson();
    private final ShardStateMachine mMachine;
    private final PeerLinks mPeers;
    private final EngineClient mEngines;
    private final PlacementLog mLog;
    private final StatusPoller mPoller;
    private final DigestExchange mDigests;
    private final ActivationService mActivations;
    private final LoadTable mLoads = new LoadTable();
    private final Map<String, EngineStatus> mReports = new HashMap<>();
    private final ShardTable mShards;
    private final Sinks.Many<ModelName> mChanges = Sinks.many().multicast().directBestEffort();
    private final ReplicaTable mReplicas;
    private final RemoteReplicas mRemote;
    private final Disposable.Composite mTasks = Disposables.composite();
    private long mPollTicks;

    /**
     * Creates a controller; nothing happens before {@link #start()}.
     *
     * @param host name of this host
     * @param failureDomain failure domain of this host
     * @param random makes write nonces, which must differ between hosts and starts
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
            EngineClient engines,
            EventLog log,
            RandomGenerator random) {
        mLoop = loop;
        mContexts = new ShardContexts(host, failureDomain, settings, configuration, hosts);
        mStore = new ShardStore(store, loop, mJson);
        mMachine = new ShardStateMachine(random);
        mPeers = peers;
        mEngines = engines;
        mLog = new PlacementLog(log);
        mPoller = new StatusPoller(loop, engines, this::reported);
        mDigests = new DigestExchange(peers, mContexts, mJson, mLoads);
        mShards = new ShardTable(mContexts, this::runtime);
        mReplicas = new ReplicaTable(this::changed);
        mRemote = new RemoteReplicas(mShards::server, mLoads);
        mActivations =
                new ActivationService(
                        loop,
                        mContexts,
                        mShards,
                        peers,
                        shard -> silentFor(shard, OfflineExecutor.HOLDER_SILENCE),
                        server -> Optional.ofNullable(mReports.get(server)),
                        this::sendOffline,
                        new RemoteDomains(mContexts, peers, mRemote, this::now, mLog),
                        new LoadedReplicas(mReplicas::replicas, this::load, this::holder));
    }

    /** Registers message handlers and starts the periodic work on the decision loop. */
    public void start() {
        mPeers.handle(Envelope.BodyCase.ACTIVATION_REQUEST, mActivations::handle);
        mPeers.handle(Envelope.BodyCase.PLACEMENT_DIGEST, this::handleDigest);
        every(PollPlan.TICK, this::poll);
        every(Duration.ofMillis(250), this::tick);
        every(WishPlan.EXCHANGE, this::exchange);
    }

    /** Releases the leases of this host; completes when that is done or has taken too long. */
    public Mono<Void> stop() {
        return Mono.fromRunnable(() -> mShards.forEach((name, shard) -> shard.stop()))
                .subscribeOn(mLoop.scheduler())
                .thenMany(Flux.interval(Duration.ofMillis(50), mLoop.scheduler()))
                .takeUntil(tick -> mShards.holdsNone())
                .take(STOP_TIMEOUT, mLoop.scheduler())
                .doFinally(signal -> mTasks.dispose())
                .then();
    }

    @Override
    public List<Replica> replicas(ModelName model) {
        List<Replica> near = mReplicas.replicas(model);
        List<Replica> remote = mRemote.replicas(model, now());
        return remote.isEmpty() ? near : Stream.concat(near.stream(), remote.stream()).toList();
    }

    @Override
    public Mono<Either<Refusal, Duration>> activate(ModelName model, Duration wait) {
        return Mono.defer(() -> mActivations.activate(model, wait));
    }

    @Override
    public void withdraw(ModelName model) {
        mActivations.withdrawn(model);
    }

    @Override
    public void recordArrival(ModelName model) {
        mActivations.arrived(model);
    }

    @Override
    public Flux<ModelName> changes() {
        return mChanges.asFlux();
    }

    @Override
    public Optional<ServerLoad> load(String server) {
        return mLoads.load(server, now());
    }

    @Override
    public Optional<String> holder(String shard) {
        return mShards.find(shard).flatMap(ShardRuntime::holder).or(() -> mRemote.holder(shard));
    }

    @Override
    public void send(Order order) {
        mShards.server(order.server())
                .ifPresent(
                        server ->
                                mEngines.sendOrder(server, order)
                                        .publishOn(mLoop.scheduler())
                                        .subscribe(outcome -> answered(server, order, outcome)));
    }

    private void answered(BackendServer server, Order order, OrderOutcome outcome) {
        if (outcome == OrderOutcome.ACCEPTED) {
            mShards.get(server.controlShard()).accepted(order);
        }
        mPoller.pollIfDue(server, PollPlan.TICK);
    }

    @Override
    public void publish(String shard, long version, ShardRecord record) {
        publish(shard, version, record, mShards.get(shard));
        mReplicas.put(shard, record);
        rebuild();
    }

    @Override
    public void report(ShardEvent notice) {
        mLog.notice(notice);
    }

    @Override
    public void unreadable(String shard, long version) {
        mLog.unreadable(shard, version);
    }

    private Mono<Envelope.Builder> handleDigest(Envelope envelope) {
        PlacementDigest digest = envelope.getPlacementDigest();
        Optional<ShardRuntime> known = mShards.find(digest.getShard());
        if (known.isEmpty()) {
            return Mono.empty();
        }
        ShardRuntime shard = known.get();
        if (digest.getRecordJson().isEmpty()) {
            shard.confirmed(envelope.getSender(), digest.getVersion());
            return Mono.empty();
        }
        mDigests.receive(digest, now())
                .ifPresent(
                        body -> {
                            if (body.record() != null) {
                                shard.digest(digest.getVersion(), body.record());
                            }
                            // A restarted host has read the record that its confirmation covers.
                            mReplicas.put(digest.getShard(), shard.record());
                            mDigests.confirm(
                                    envelope.getSender(), digest.getShard(), shard.version());
                            rebuild();
                        });
        return Mono.empty();
    }

    private void publish(String name, long version, ShardRecord record, ShardRuntime shard) {
        mDigests.publish(name, version, record, host -> shard.hasConfirmed(host, version), now());
    }

    private void reported(EngineStatus status) {
        long asked = status.report().requestedNanos();
        String name = status.report().server();
        mLoads.put(name, status.load(), asked);
        mReports.put(name, status);
        mReplicas.put(status);
        mShards.server(name)
                .filter(server -> server.kind() == BackendKind.MODEL_ENGINE)
                .ifPresent(server -> mShards.get(server.controlShard()).reported(status.report()));
        rebuild();
    }

    private void poll() {
        Set<String> ordered = new HashSet<>();
        mShards.forEach((name, shard) -> addOrdered(shard, ordered));
        mPollTicks++;
        if (ordered.isEmpty() && mPollTicks % PollPlan.STEADY_TICKS != 0) {
            return;
        }
        mContexts.configuration().stream()
                .flatMap(c -> c.backendServers().values().stream())
                .filter(server -> mShards.find(server.controlShard()).isPresent())
                .forEach(server -> poll(server, ordered.contains(server.name())));
    }

    /** Adds the servers on which an order of this holder has no known outcome. */
    private static void addOrdered(ShardRuntime shard, Set<String> servers) {
        if (shard.holds()) {
            shard.record().placements().stream()
                    .filter(Placement::unresolved)
                    .map(Placement::server)
                    .forEach(servers::add);
        }
    }

    private void poll(BackendServer server, boolean ordered) {
        ShardRuntime shard = mShards.get(server.controlShard());
        if (shard.holds()) {
            mPoller.pollIfDue(server, PollPlan.interval(ordered));
        } else if (silentFor(server.controlShard(), DIGEST_SILENCE)) {
            mPoller.pollIfDue(server, PollPlan.FALLBACK);
        }
    }

    private void tick() {
        mContexts.shards().forEach(shard -> mShards.get(shard).tick());
        rebuild();
    }

    private void exchange() {
        mShards.forEach(
                (name, shard) -> {
                    if (shard.holds()) {
                        publish(name, shard.version(), shard.record(), shard);
                        shard.confirmed(mContexts.host(), shard.version());
                    }
                });
        mActivations.exchange();
        mRemote.removeExpired(now());
    }

    private void rebuild() {
        Set<String> current = new HashSet<>();
        mShards.forEach(
                (name, shard) -> {
                    if (shard.holds() || !silentFor(name, DIGEST_SILENCE)) {
                        current.add(name);
                    }
                });
        mContexts.configuration().ifPresent(c -> mReplicas.rebuild(c, mLoads, current));
    }

    private void changed(ModelName model) {
        if (!mReplicas.replicas(model).isEmpty()) {
            mActivations.loaded(model);
        }
        mChanges.tryEmitNext(model);
    }

    private void sendOffline(Order order) {
        mLog.offline(order);
        send(order);
    }

    private boolean silentFor(String shard, Duration bound) {
        return mDigests.silentNanos(shard, now()) > bound.toNanos();
    }

    private ShardRuntime runtime(String shard) {
        return new ShardRuntime(
                shard, mLoop, mMachine, mStore, mJson, () -> mContexts.of(shard), this);
    }

    private void every(Duration interval, Runnable task) {
        long millis = interval.toMillis();
        mTasks.add(mLoop.scheduler().schedulePeriodically(task, 0, millis, TimeUnit.MILLISECONDS));
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
