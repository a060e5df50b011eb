package org.vanillaslip.internal.standins.engine;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** HTTP server of a stand-in model engine; listens on 127.0.0.1. */
public final class EngineServer implements AutoCloseable {

    private final EngineSettings mSettings;
    private final LongSupplier mNanoClock;
    private final EngineViolations mViolations = new EngineViolations();
    private final ActiveFaults mFaults = new ActiveFaults();
    private final ReceivedValues mReceivedValues = new ReceivedValues();
    private final ObjectMapper mMapper =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .build();
    private final EngineCompletions mCompletions;
    private final DisposableServer mServer;
    private volatile EngineProcess mProcess;

    private EngineServer(EngineSettings settings, LongSupplier nanoClock) {
        mSettings = settings;
        mNanoClock = nanoClock;
        mProcess = EngineProcess.start(settings, Map.of(), mViolations, nanoClock);
        mCompletions = new EngineCompletions(mMapper, settings, () -> mProcess);
        mServer =
                HttpServer.create()
                        .host("127.0.0.1")
                        .port(settings.port())
                        .route(this::addRoutes)
                        .bindNow();
    }

    /** Starts a server with a monotonic clock. */
    public static EngineServer start(EngineSettings settings, LongSupplier nanoClock) {
        return new EngineServer(settings, nanoClock);
    }

    /** Returns the address as {@code ip:port}. */
    public String address() {
        return "127.0.0.1:" + mServer.port();
    }

    /** Returns the id of the current incarnation. */
    public String incarnation() {
        return mProcess.mModels.incarnation();
    }

    /** Replaces the active faults. */
    public void setFaults(EngineFaults faults) {
        mFaults.set(faults);
    }

    /** Returns the received URIs, headers and bodies; the oldest are dropped beyond a limit. */
    public List<String> receivedValues() {
        return mReceivedValues.values();
    }

    /** Returns descriptions of orders that would overcommit memory or load a model twice. */
    public List<String> violations() {
        return mViolations.entries();
    }

    /** Simulates a restart: unloads all models, changes the incarnation, keeps the address. */
    public void restart() {
        Map<String, String> checkpointLocations = mProcess.mModels.checkpointLocations();
        mProcess = EngineProcess.start(mSettings, checkpointLocations, mViolations, mNanoClock);
        mCompletions.breakAllStreams();
    }

    /** Blocks until the server is closed. */
    public void awaitClose() {
        mServer.onDispose().block();
    }

    @Override
    public void close() {
        mServer.disposeNow();
    }

    private void addRoutes(HttpServerRoutes routes) {
        EngineCompletions completions = new EngineCompletions(mMapper, mSettings, () -> mProcess);
        routes.post(
                "/v1/completions",
                (request, response) ->
                        handle("completions", request, response, mCompletions::post));
        routes.delete(
                "/v1/requests/{id}",
                (request, response) -> handle("cancel", request, response, mCompletions::cancel));
        routes.get(
                "/v1/status",
                (request, response) -> handle("status", request, response, this::handleStatus));
        routes.post(
                "/v1/orders",
                (request, response) -> handle("orders", request, response, this::handleOrder));
        routes.post(
                "/faults",
                (request, response) ->
                        readBody(request).flatMap(body -> handleFaults(body, response)));
        routes.post(
                "/restart",
                (request, response) -> {
                    restart();
                    return response.status(204).send();
                });
        routes.get(
                "/received",
                (request, response) ->
                        EngineHttp.respondJson(mMapper, response, 200, mReceivedValues.values()));
    }

    private Mono<Void> handle(
            String kind,
            HttpServerRequest request,
            HttpServerResponse response,
            EngineRequestHandler handler) {
        record(request);
        return readBody(request)
                .flatMap(
                        body -> {
                            mReceivedValues.add(body);
                            EngineFaults faults = mFaults.consume(kind);
                            Mono<Void> handling =
                                    Mono.defer(
                                            () ->
                                                    handleWithFaults(
                                                            faults, request, response, body,
                                                            handler));
                            return faults.slowMillis() == 0
                                    ? handling
                                    : Mono.delay(java.time.Duration.ofMillis(faults.slowMillis()))
                                            .then(handling);
                        });
    }

    private Mono<Void> handleWithFaults(
            EngineFaults faults,
            HttpServerRequest request,
            HttpServerResponse response,
            String body,
            EngineRequestHandler handler) {
        if (faults.dropBefore()) {
            return EngineHttp.closeConnection(response);
        } else if (faults.refuseStatus() > 0) {
            return response.status(faults.refuseStatus()).send();
        }
        return handler.handle(request, response, body, faults);
    }

    private Mono<Void> handleFaults(String body, HttpServerResponse response) {
        mFaults.set(EngineHttp.parse(mMapper, body, EngineFaults.class));
        return response.status(204).send();
    }

    private Mono<Void> handleOrder(
            HttpServerRequest request,
            HttpServerResponse response,
            String body,
            EngineFaults faults) {
        EngineOrder order = EngineHttp.parse(mMapper, body, EngineOrder.class);
        java.util.Optional<String> refusal = mProcess.mModels.execute(order);
        if (faults.dropAfter()) {
            return EngineHttp.closeConnection(response);
        }
        return refusal.isEmpty()
                ? EngineHttp.respondJson(
                        mMapper, response, 202, Map.of("decision", order.decision()))
                : EngineHttp.respondJson(mMapper, response, 409, Map.of("reason", refusal.get()));
    }

    private Mono<Void> handleStatus(
            HttpServerRequest request,
            HttpServerResponse response,
            String body,
            EngineFaults faults) {
        EngineProcess process = mProcess;
        EngineModels models = process.mModels;
        Map<String, Object> status =
                Map.ofEntries(
                        Map.entry("incarnation", models.incarnation()),
                        Map.entry(
                                "uptime_millis",
                                (mNanoClock.getAsLong() - process.mStartNanos) / 1_000_000),
                        Map.entry("running", process.mRequestCounter.reportedCount()),
                        Map.entry("waiting", 0),
                        Map.entry("memory_bytes", mSettings.memoryBytes()),
                        Map.entry("memory_used_bytes", models.usedBytes()),
                        Map.entry("highest_term", models.highestTerm()),
                        Map.entry("resident", models.residentModels()),
                        Map.entry("checkpoints", models.checkpointLocations()),
                        Map.entry("refused", models.refusedDecisions()),
                        Map.entry("violations", mViolations.entries()));
        return EngineHttp.respondJson(mMapper, response, 200, status);
    }

    private void record(HttpServerRequest request) {
        mReceivedValues.add(request.uri());
        request.requestHeaders()
                .forEach(header -> mReceivedValues.add(header.getKey() + ": " + header.getValue()));
    }

    private static Mono<String> readBody(HttpServerRequest request) {
        return request.receive().aggregate().asString().defaultIfEmpty("");
    }
}
