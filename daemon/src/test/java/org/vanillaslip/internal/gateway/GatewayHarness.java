package org.vanillaslip.internal.gateway;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Either;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Configuration;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.FailureDomainEntry;
import org.vanillaslip.LoadTimes;
import org.vanillaslip.Model;
import org.vanillaslip.ModelName;
import org.vanillaslip.MonotonicClock;
import org.vanillaslip.Plan;
import org.vanillaslip.Refusal;
import org.vanillaslip.RequestClass;
import org.vanillaslip.Route;
import org.vanillaslip.SlowStart;
import org.vanillaslip.Workspace;
import org.vanillaslip.WorkspaceEntry;
import org.vanillaslip.internal.admission.KeyDigest;
import org.vanillaslip.internal.configuration.Fault;
import org.vanillaslip.internal.control.ConfigurationView;
import org.vanillaslip.internal.control.PlacementView;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.internal.control.ServerLoad;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.metrics.MeteredPlacement;
import org.vanillaslip.internal.queue.QueueLimits;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.standins.service.ServiceServer;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.test.scheduler.VirtualTimeScheduler;

/** A gateway with fake dependencies, on virtual time that {@link #awaitResponse} advances. */
final class GatewayHarness
        implements AutoCloseable, ConfigurationView, WorkspaceQuotas, SlowStartSlots {

    static final String API_KEY = "secret-key-of-builder";
    static final String PLAIN_SERVICE_PATH = "/sheet-cuts";

    final VirtualTimeScheduler mVirtualTime = VirtualTimeScheduler.create();
    final FakeStore mStore = new FakeStore();
    final FakeEngine mEngine = new FakeEngine();
    final ServiceServer mService = new ServiceServer("orders");
    final List<String> mLogEvents = new CopyOnWriteArrayList<>();
    final List<Long> mSettledTokens = new CopyOnWriteArrayList<>();
    final List<ModelName> mWithdrawnModels = new CopyOnWriteArrayList<>();
    final AtomicInteger mStartedResponses = new AtomicInteger();
    final AtomicInteger mSlotsInUse = new AtomicInteger();
    final Map<String, BackendServer> mServers = new HashMap<>();
    volatile boolean mRefuseSlots;
    volatile boolean mModelLoaded = true;
    volatile String mShardHolder = "host-2";
    volatile Duration mServerUptime = Duration.ofHours(1);
    volatile Either<Refusal, Duration> mActivationResult = Either.right(Duration.ofSeconds(1));
    volatile int mFullConcurrency = 4;
    private final Sinks.Many<Configuration> mConfigurationChanges =
            Sinks.many().multicast().directBestEffort();
    private final Sinks.Many<ModelName> mReplicaChanges =
            Sinks.many().multicast().directBestEffort();
    private final AtomicLong mIdCounter = new AtomicLong();
    private final HttpClient mHttpClient = HttpClient.newHttpClient();
    private volatile Configuration mConfiguration;
    private final Gateway mGateway;

    GatewayHarness() {
        this(QueueLimits.defaults());
    }

    GatewayHarness(QueueLimits limits) {
        addServer("orders-1", "127.0.0.1:" + mService.start(0), BackendKind.PLAIN_SERVICE);
        addServer("engine-1", mEngine.address(), BackendKind.MODEL_ENGINE);
        mConfiguration = configuration(Set.of(API_KEY), false);
        GatewaySettings settings =
                new GatewaySettings(
                        "127.0.0.1",
                        0,
                        "host-1",
                        "east",
                        4096,
                        1 << 20,
                        limits,
                        Duration.ZERO,
                        Duration.ofSeconds(5),
                        Duration.ofSeconds(9));
        MonotonicClock clock = () -> mVirtualTime.now(TimeUnit.NANOSECONDS);
        DaemonMetrics metrics =
                new DaemonMetrics(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
        mGateway =
                new Gateway(
                        settings,
                        new GatewayDependencies(
                                this,
                                new MeteredPlacement(new FakePlacement(), clock, metrics),
                                () -> Set.of("host-3", "host-2"),
                                this,
                                this,
                                mStore,
                                new DecisionLoop(mVirtualTime, clock),
                                new Random(7),
                                () -> "id-" + mIdCounter.incrementAndGet(),
                                metrics,
                                (event, fields) -> mLogEvents.add(event + " " + List.of(fields))));
        mGateway.start().block();
    }

    void addServer(String name, String address, BackendKind kind) {
        mServers.put(
                name,
                new BackendServer(
                        name,
                        new FailureDomain("east"),
                        address,
                        kind,
                        pool(kind),
                        "shard-1",
                        1,
                        1,
                        true,
                        false,
                        slowStart()));
    }

    private SlowStart slowStart() {
        return new SlowStart(1, mFullConcurrency, Duration.ofMinutes(1));
    }

    private static String pool(BackendKind kind) {
        return kind == BackendKind.MODEL_ENGINE ? "quoting" : "orders";
    }

    Configuration configuration(Set<String> keys, boolean drained) {
        Map<String, String> digests = new HashMap<>();
        keys.forEach(key -> digests.put(KeyDigest.of(key), "builder"));
        LoadTimes times = new LoadTimes(Duration.ZERO, Duration.ZERO, Duration.ZERO);
        return new Configuration(
                1,
                Map.of("small", new Plan("small", Set.of("edge"), Set.of("oak"), 10, 10)),
                Map.of("builder", new WorkspaceEntry("builder", "small", digests.keySet())),
                Map.of(
                        "/quotes",
                        route("/quotes", BackendKind.MODEL_ENGINE, true),
                        "/quotes-once",
                        route("/quotes-once", BackendKind.MODEL_ENGINE, false),
                        PLAIN_SERVICE_PATH,
                        route(PLAIN_SERVICE_PATH, BackendKind.PLAIN_SERVICE, false),
                        "/stock",
                        route("/stock", BackendKind.PLAIN_SERVICE, true)),
                Map.of("edge", new Model("edge", "1", "quoting", 1, 1, Map.of(), times)),
                mServers,
                Map.of("east", new FailureDomainEntry("east", drained)),
                Map.of(),
                digests);
    }

    private static Route route(String name, BackendKind kind, boolean repeatable) {
        return new Route(
                name,
                kind,
                pool(kind),
                false,
                RequestClass.INTERACTIVE,
                repeatable,
                Duration.ofSeconds(30));
    }

    void configure(Configuration configuration) {
        mConfiguration = configuration;
        mVirtualTime.schedule(() -> mConfigurationChanges.tryEmitNext(configuration));
    }

    void setModelLoaded(boolean loaded) {
        mModelLoaded = loaded;
        mVirtualTime.schedule(() -> mReplicaChanges.tryEmitNext(ModelName.parse("edge")));
    }

    Configuration configurationWithoutModels() {
        Configuration current = mConfiguration;
        return new Configuration(
                2,
                current.plans(),
                current.workspaces(),
                current.routes(),
                Map.of(),
                current.backendServers(),
                current.failureDomains(),
                current.hosts(),
                current.workspacesByKeyDigest());
    }

    /** Returns the number of waiting requests that the status page shows. */
    int waitingRequestCount() {
        String status = awaitResponse(get("/status"), Duration.ZERO).body();
        return Integer.parseInt(status.replaceAll(".*\"waiting\":(\\d+).*", "$1"));
    }

    Mono<Void> stopGateway() {
        return mGateway.stop();
    }

    CompletableFuture<HttpResponse<String>> postQuote(boolean stream, String... headers) {
        String body = "{\"model\":\"edge\",\"prompt\":\"oak edge\",\"max_tokens\":8,\"stream\":%s}";
        return post("/quotes", body.formatted(stream), headers);
    }

    CompletableFuture<HttpResponse<String>> postSheetCut(String reference, String idempotencyKey) {
        return post(
                PLAIN_SERVICE_PATH,
                "{\"booking_reference\":\"" + reference + "\"}",
                "Idempotency-Key",
                idempotencyKey);
    }

    CompletableFuture<HttpResponse<String>> post(String path, String body, String... headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://127.0.0.1:" + mGateway.address().getPort() + path))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .header("Authorization", "Bearer " + API_KEY);
        if (headers.length > 0) {
            request.headers(headers);
        }
        return mHttpClient.sendAsync(request.build(), countingBodyHandler());
    }

    private HttpResponse.BodyHandler<String> countingBodyHandler() {
        return responseInfo -> {
            mStartedResponses.incrementAndGet();
            return HttpResponse.BodySubscribers.ofString(StandardCharsets.UTF_8);
        };
    }

    CompletableFuture<HttpResponse<String>> get(String path) {
        URI uri = URI.create("http://127.0.0.1:" + mGateway.address().getPort() + path);
        return mHttpClient.sendAsync(
                HttpRequest.newBuilder(uri).header("Authorization", "Bearer " + API_KEY).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Waits for the response and advances virtual time by the given step per poll. */
    HttpResponse<String> awaitResponse(
            CompletableFuture<HttpResponse<String>> response, Duration virtualStep) {
        for (int poll = 0; poll < 2_000; poll++) {
            try {
                return response.get(5, TimeUnit.MILLISECONDS);
            } catch (TimeoutException pending) {
                mVirtualTime.advanceTimeBy(virtualStep);
            } catch (InterruptedException | ExecutionException failure) {
                throw new AssertionError(failure);
            }
        }
        throw new AssertionError("no response; log: " + mLogEvents);
    }

    HttpResponse<String> awaitResponse(CompletableFuture<HttpResponse<String>> response) {
        return awaitResponse(response, Duration.ofMillis(10));
    }

    /** Waits for real I/O without advancing virtual time; tasks that are due run. */
    void awaitCondition(BooleanSupplier condition) {
        // Only limits a hang: on a busy machine, real connections take seconds.
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError(
                        "condition not met; settled: " + mSettledTokens + ", log: " + mLogEvents);
            }
            mVirtualTime.advanceTimeBy(Duration.ZERO);
            Thread.onSpinWait();
        }
    }

    @Override
    public Optional<Configuration> current() {
        return Optional.ofNullable(mConfiguration);
    }

    @Override
    public Flux<Configuration> changes() {
        return mConfigurationChanges.asFlux();
    }

    @Override
    public List<Fault> faults() {
        return List.of(new Fault("workspace.w", "plan", "gone", "the name of a plan"));
    }

    @Override
    public Duration age() {
        return Duration.ZERO;
    }

    @Override
    public Mono<Either<Refusal, QuotaCharge>> charge(
            Workspace workspace, long tokens, Duration wait) {
        return Mono.just(Either.right(new QuotaCharge(workspace, tokens)));
    }

    @Override
    public void settle(QuotaCharge charge, long usedTokens) {
        mSettledTokens.add(usedTokens);
    }

    @Override
    public Mono<Optional<Slot>> acquire(Replica replica, Duration wait) {
        if (mRefuseSlots) {
            return Mono.just(Optional.empty());
        }
        mSlotsInUse.incrementAndGet();
        return Mono.just(Optional.of(mSlotsInUse::decrementAndGet));
    }

    @Override
    public void close() {
        mEngine.stop();
        mService.stop();
    }

    private final class FakePlacement implements PlacementView {
        @Override
        public Flux<ModelName> changes() {
            return mReplicaChanges.asFlux();
        }

        @Override
        public List<Replica> replicas(ModelName model) {
            return mModelLoaded
                    ? mServers.values().stream()
                            .filter(server -> server.kind() == BackendKind.MODEL_ENGINE)
                            .map(server -> new Replica(server, "first", model))
                            .toList()
                    : List.of();
        }

        @Override
        public Mono<Either<Refusal, Duration>> activate(ModelName model, Duration wait) {
            return Mono.just(mActivationResult);
        }

        @Override
        public void withdraw(ModelName model) {
            mWithdrawnModels.add(model);
        }

        @Override
        public void recordArrival(ModelName model) {}

        @Override
        public Optional<ServerLoad> load(String server) {
            return Optional.of(new ServerLoad("first", mServerUptime, 0, 0));
        }

        @Override
        public Optional<String> holder(String shard) {
            return Optional.of(mShardHolder);
        }
    }
}
