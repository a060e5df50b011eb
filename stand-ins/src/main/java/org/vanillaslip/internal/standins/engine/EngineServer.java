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

/** A stand-in model engine that listens on 127.0.0.1. */
public final class EngineServer implements AutoCloseable {

    private final EngineSettings mSettings;
    private final LongSupplier mNanos;
    private final EngineViolations mViolations = new EngineViolations();
    private final ActiveFaults mFaults = new ActiveFaults();
    private final ReceivedValues mReceived = new ReceivedValues();
    private final ObjectMapper mJson =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .build();
    private final EngineCompletions mCompletions;
    private final DisposableServer mServer;
    private volatile EngineProcess mProcess;

    private EngineServer(EngineSettings settings, LongSupplier nanos) {
        mSettings = settings;
        mNanos = nanos;
        mProcess = EngineProcess.start(settings, Map.of(), mViolations, nanos);
        mCompletions = new EngineCompletions(mJson, settings, () -> mProcess);
        mServer =
                HttpServer.create()
                        .host("127.0.0.1")
                        .port(settings.port())
                        .route(this::routes)
                        .bindNow();
    }

    /** Starts a server; the clock returns monotonic nanoseconds. */
    public static EngineServer start(EngineSettings settings, LongSupplier nanos) {
        return new EngineServer(settings, nanos);
    }

    /** Returns the address as {@code ip:port}. */
    public String address() {
        return "127.0.0.1:" + mServer.port();
    }

    /** Returns the current incarnation. */
    public String incarnation() {
        return mProcess.mModels.incarnation();
    }

    /** Puts faults in force. */
    public void setFaults(EngineFaults faults) {
        mFaults.set(faults);
    }

    /** Returns every header, query and body value received so far. */
    public List<String> receivedValues() {
        return mReceived.values();
    }

    /** Returns orders that would have overcommitted memory or loaded a model twice. */
    public List<String> violations() {
        return mViolations.entries();
    }

    /** Restarts cold at the same address: all models are gone, the incarnation is new. */
    public void restart() {
        Map<String, String> checkpoints = mProcess.mModels.checkpoints();
        mProcess = EngineProcess.start(mSettings, checkpoints, mViolations, mNanos);
        mCompletions.breakAll();
    }

    /** Blocks until the server is closed. */
    public void awaitClose() {
        mServer.onDispose().block();
    }

    @Override
    public void close() {
        mServer.disposeNow();
    }

    private void routes(HttpServerRoutes routes) {
        EngineCompletions completions = new EngineCompletions(mJson, mSettings, () -> mProcess);
        routes.post("/v1/completions", (q, r) -> handle("completions", q, r, mCompletions::post));
        routes.delete("/v1/requests/{id}", (q, r) -> handle("cancel", q, r, mCompletions::cancel));
        routes.get("/v1/status", (q, r) -> handle("status", q, r, this::status));
        routes.post("/v1/orders", (q, r) -> handle("orders", q, r, this::order));
        routes.post("/faults", (q, r) -> body(q).flatMap(body -> handleFaults(body, r)));
        routes.post(
                "/restart",
                (q, r) -> {
                    restart();
                    return r.status(204).send();
                });
        routes.get("/received", (q, r) -> EngineHttp.json(mJson, r, 200, mReceived.values()));
    }

    private Mono<Void> handle(
            String kind,
            HttpServerRequest request,
            HttpServerResponse response,
            EngineRequestHandler call) {
        record(request);
        return body(request)
                .flatMap(
                        body -> {
                            mReceived.add(body);
                            EngineFaults faults = mFaults.next(kind);
                            Mono<Void> handled =
                                    Mono.defer(() -> faulty(faults, request, response, body, call));
                            return faults.slowMillis() == 0
                                    ? handled
                                    : Mono.delay(java.time.Duration.ofMillis(faults.slowMillis()))
                                            .then(handled);
                        });
    }

    private Mono<Void> faulty(
            EngineFaults faults,
            HttpServerRequest request,
            HttpServerResponse response,
            String body,
            EngineRequestHandler call) {
        if (faults.dropBefore()) {
            return EngineHttp.drop(response);
        } else if (faults.refuseStatus() > 0) {
            return response.status(faults.refuseStatus()).send();
        }
        return call.handle(request, response, body, faults);
    }

    private Mono<Void> handleFaults(String body, HttpServerResponse response) {
        mFaults.set(EngineHttp.parse(mJson, body, EngineFaults.class));
        return response.status(204).send();
    }

    private Mono<Void> order(
            HttpServerRequest request,
            HttpServerResponse response,
            String body,
            EngineFaults faults) {
        EngineOrder order = EngineHttp.parse(mJson, body, EngineOrder.class);
        java.util.Optional<String> refusal = mProcess.mModels.execute(order);
        if (faults.dropAfter()) {
            return EngineHttp.drop(response);
        }
        return refusal.isEmpty()
                ? EngineHttp.json(mJson, response, 202, Map.of("decision", order.decision()))
                : EngineHttp.json(mJson, response, 409, Map.of("reason", refusal.get()));
    }

    private Mono<Void> status(
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
                                (mNanos.getAsLong() - process.mStartNanos) / 1_000_000),
                        Map.entry("running", process.mLoad.reported()),
                        Map.entry("waiting", 0),
                        Map.entry("memory_bytes", mSettings.memoryBytes()),
                        Map.entry("memory_used_bytes", models.usedBytes()),
                        Map.entry("highest_term", models.highestTerm()),
                        Map.entry("resident", models.residents()),
                        Map.entry("checkpoints", models.checkpoints()),
                        Map.entry("refused", models.refused()),
                        Map.entry("violations", mViolations.entries()));
        return EngineHttp.json(mJson, response, 200, status);
    }

    private void record(HttpServerRequest request) {
        mReceived.add(request.uri());
        request.requestHeaders().forEach(h -> mReceived.add(h.getKey() + ": " + h.getValue()));
    }

    private static Mono<String> body(HttpServerRequest request) {
        return request.receive().aggregate().asString().defaultIfEmpty("");
    }
}
