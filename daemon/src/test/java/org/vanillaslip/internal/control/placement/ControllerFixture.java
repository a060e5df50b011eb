package org.vanillaslip.internal.control.placement;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;
import org.vanillaslip.LoadTimes;
import org.vanillaslip.Model;
import org.vanillaslip.ModelName;
import org.vanillaslip.SlowStart;
import org.vanillaslip.internal.backend.EngineClient;
import org.vanillaslip.internal.control.ConfigurationView;
import org.vanillaslip.internal.control.HostView;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.internal.lease.LeaseTimes;
import org.vanillaslip.internal.peer.PeerFailure;
import org.vanillaslip.internal.peer.PeerHandler;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.placement.KeepAlivePolicy;
import org.vanillaslip.internal.placement.PlacementSettings;
import org.vanillaslip.internal.placement.WeightStoreLimits;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.standins.engine.EngineServer;
import org.vanillaslip.internal.standins.engine.EngineSettings;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.PlacementDigest;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;

/**
 * Two hosts on one decision loop with an in-memory store, in-memory links and a stand-in engine.
 */
final class ControllerFixture implements AutoCloseable {

    private static final FailureDomain DOMAIN = new FailureDomain("east");

    final EngineServer mEngine = EngineServer.start(EngineSettings.forTests("e"), System::nanoTime);
    final List<Integer> mEventNumbers = new CopyOnWriteArrayList<>();
    final List<PlacementDigest> mDigests = new CopyOnWriteArrayList<>();
    volatile boolean mDropConfirmations;
    private final Sinks.Many<Configuration> mChanges = Sinks.many().multicast().directBestEffort();
    private volatile Configuration mConfiguration = configuration(1, false);
    private final Scheduler mScheduler = Schedulers.newSingle("test-decisions");
    private final DecisionLoop mLoop = new DecisionLoop(mScheduler, System::nanoTime);
    private final Map<String, Map<Envelope.BodyCase, PeerHandler>> mHandlers = new HashMap<>();
    private final ObjectStore mStore = new InMemoryObjectStore();
    final PlacementController mFirst = create("h0", 1);
    final PlacementController mSecond = create("h1", 2);

    private PlacementController create(String host, long seed) {
        return new PlacementController(
                mLoop,
                host,
                DOMAIN,
                new PlacementSettings(
                        LeaseTimes.STANDARD,
                        new WeightStoreLimits(5, 4, 32),
                        new KeepAlivePolicy(
                                0.5, Duration.ofMinutes(1), Duration.ofMinutes(1), Duration.ZERO),
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(10),
                        1),
                new MutableConfiguration(),
                new FixedHosts(),
                mStore,
                new InMemoryPeerLinks(host),
                new EngineClient(HttpClient.create(), Duration.ofSeconds(2)),
                (event, fields) -> mEventNumbers.add(event.number()),
                new Random(seed));
    }

    PlacementController controller(String host) {
        return host.equals("h0") ? mFirst : mSecond;
    }

    <T> Mono<T> onLoop(Supplier<Mono<T>> call) {
        return Mono.defer(call).subscribeOn(mScheduler);
    }

    String holder(PlacementController controller) {
        return Mono.fromSupplier(() -> controller.holder("east-1").orElse(""))
                .subscribeOn(mScheduler)
                .block(Duration.ofSeconds(5));
    }

    void startAndAwaitHolder() {
        mFirst.start();
        mSecond.start();
        Mono.fromSupplier(() -> holder(mFirst) + holder(mSecond))
                .repeat()
                .takeUntil(both -> both.length() == 4)
                .blockLast(Duration.ofSeconds(20));
    }

    Replica awaitReplica(PlacementController controller, ModelName model) {
        return Flux.defer(() -> Flux.fromIterable(controller.replicas(model)))
                .subscribeOn(mScheduler)
                .repeat()
                .blockFirst(Duration.ofSeconds(20));
    }

    @Override
    public void close() {
        mScheduler.dispose();
        mEngine.close();
    }

    /** Emits a new configuration in which the server is drained or in service. */
    void setDrained(boolean drained) {
        mConfiguration = configuration(mConfiguration.version() + 1, drained);
        mScheduler.schedule(() -> mChanges.tryEmitNext(mConfiguration));
    }

    private Configuration configuration(long version, boolean drained) {
        BackendServer server =
                new BackendServer(
                        "e",
                        DOMAIN,
                        mEngine.address(),
                        BackendKind.MODEL_ENGINE,
                        "p",
                        "east-1",
                        1000,
                        1,
                        true,
                        drained,
                        new SlowStart(1, 8, Duration.ofSeconds(1)));
        LoadTimes times =
                new LoadTimes(Duration.ofMillis(1), Duration.ofMillis(2), Duration.ofMillis(5));
        Model model = new Model("m", "1", "p", 100, 10, Map.of("east", 1), times);
        return new Configuration(
                version,
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of("m", model),
                Map.of("e", server),
                Map.of(),
                Map.of(),
                Map.of());
    }

    private final class MutableConfiguration implements ConfigurationView {
        @Override
        public Optional<Configuration> current() {
            return Optional.of(mConfiguration);
        }

        @Override
        public Flux<Configuration> changes() {
            return mChanges.asFlux();
        }

        @Override
        public Duration age() {
            return Duration.ZERO;
        }
    }

    private static final class FixedHosts implements HostView {
        @Override
        public List<Host> hosts() {
            return List.of(
                    new Host("h0", DOMAIN, "127.0.0.1:1", false),
                    new Host("h1", DOMAIN, "127.0.0.1:2", false));
        }

        @Override
        public Flux<List<Host>> changes() {
            return Flux.never();
        }
    }

    private final class InMemoryPeerLinks implements PeerLinks {
        private final String mHost;

        InMemoryPeerLinks(String host) {
            mHost = host;
            mHandlers.put(host, new HashMap<>());
        }

        @Override
        public Mono<Either<PeerFailure, Envelope>> request(
                String host, Envelope.Builder request, Duration timeout) {
            return deliver(host, request).map(reply -> Either.right(reply.build()));
        }

        @Override
        public void send(String host, Envelope.Builder message) {
            if (message.hasPlacementDigest()) {
                mDigests.add(message.getPlacementDigest());
                if (mDropConfirmations && message.getPlacementDigest().getRecordJson().isEmpty()) {
                    return;
                }
            }
            mScheduler.schedule(() -> deliver(host, message).subscribe());
        }

        private Mono<Envelope.Builder> deliver(String host, Envelope.Builder message) {
            Envelope envelope = message.setSender(mHost).build();
            return mHandlers.get(host).get(envelope.getBodyCase()).handle(envelope);
        }

        @Override
        public void handle(Envelope.BodyCase bodyCase, PeerHandler handler) {
            mHandlers.get(mHost).put(bodyCase, handler);
        }

        @Override
        public Set<String> liveHosts() {
            return Set.of(mHost.equals("h0") ? "h1" : "h0");
        }
    }

    private static final class InMemoryObjectStore implements ObjectStore {
        private final Map<String, StoredObject> mObjects = new HashMap<>();
        private long mVersion;

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
            return Mono.fromSupplier(
                    () ->
                            Optional.ofNullable(mObjects.get(name))
                                    .<Either<PlatformFailure, StoredObject>>map(Either::right)
                                    .orElse(Either.left(PlatformFailure.NOT_FOUND)));
        }

        @Override
        public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
            return Mono.fromSupplier(
                    () -> Either.right(new ObjectList(mVersion, List.copyOf(mObjects.values()))));
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> create(
                String collection, String name, ObjectNode spec) {
            return update(collection, name, 0, spec);
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> update(
                String collection, String name, long expectedVersion, ObjectNode spec) {
            return Mono.fromSupplier(
                    () -> {
                        StoredObject old = mObjects.get(name);
                        if ((old == null ? 0 : old.version()) != expectedVersion) {
                            return Either.left(PlatformFailure.CONFLICT);
                        }
                        StoredObject next = new StoredObject(collection, name, ++mVersion, spec);
                        mObjects.put(name, next);
                        return Either.right(next);
                    });
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> delete(
                String collection, String name, long expectedVersion) {
            return Mono.just(Either.left(PlatformFailure.NOT_FOUND));
        }

        @Override
        public Flux<WatchEvent> watch(String collection, long fromVersion) {
            return Flux.never();
        }
    }
}
