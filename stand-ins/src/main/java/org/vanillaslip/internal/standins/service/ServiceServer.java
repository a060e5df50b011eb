package org.vanillaslip.internal.standins.service;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** HTTP server of a stand-in service; listens on 127.0.0.1. */
public final class ServiceServer {

    private static final Set<String> COUNTED_PATHS =
            Set.of("/press-slots", "/sheet-cuts", "/deposits", "/seat-holds");
    private static final String REQUEST_ID = "X-Request-Id";

    private final ObjectMapper mMapper = new ObjectMapper();
    private final String mName;
    private final String mIncarnation = UUID.randomUUID().toString();
    private final long mStartNanos = System.nanoTime();
    private final ServiceRecords mRecords = new ServiceRecords();
    private final ActiveFault mActiveFault = new ActiveFault();
    private final AtomicInteger mRunning = new AtomicInteger();
    private @Nullable DisposableServer mServer;

    /** Creates a server whose responses contain the given name. */
    public ServiceServer(String name) {
        mName = name;
    }

    /** Listens on the port, or on a free one if it is 0, and returns the actual port. */
    public int start(int port) {
        DisposableServer server =
                HttpServer.create().host("127.0.0.1").port(port).handle(this::handle).bindNow();
        mServer = server;
        return server.port();
    }

    /** Stops listening and closes all connections. */
    public void stop() {
        if (mServer != null) {
            mServer.disposeNow();
        }
    }

    /** Waits until the server is stopped. */
    public void awaitStop() {
        if (mServer != null) {
            mServer.onDispose().block();
        }
    }

    /** Returns the received calls and the executions. */
    public ServiceRecords records() {
        return mRecords;
    }

    /** Injects a fault into the given number of calls; the delay applies to {@code LATE}. */
    public void setFault(ServiceFault fault, int times, Duration delay) {
        mActiveFault.set(fault, times, delay);
    }

    private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return request.receive()
                .aggregate()
                .asString()
                .defaultIfEmpty("")
                .flatMap(body -> route(request, response, body));
    }

    private Mono<Void> route(HttpServerRequest request, HttpServerResponse response, String body) {
        String path = request.uri().split("\\?", 2)[0];
        return switch (path) {
            case "/status" -> respondJson(response, statusJson());
            case "/records" -> respondJson(response, mMapper.valueToTree(mRecords.calls()));
            case "/executions" -> respondJson(response, mMapper.valueToTree(mRecords.executions()));
            case "/faults" -> handleFault(response, body);
            default -> handleCall(request, response, path, body);
        };
    }

    private Mono<Void> handleCall(
            HttpServerRequest request, HttpServerResponse response, String path, String body) {
        mRecords.recordCall(
                new ReceivedCall(request.method().name(), request.uri(), headers(request), body));
        ServiceFault fault = mActiveFault.consume();
        if (fault == ServiceFault.CLOSE_BEFORE) {
            return closeConnection(response);
        }
        int executions = COUNTED_PATHS.contains(path) ? mRecords.recordExecution(body) : 0;
        ObjectNode reply = mMapper.createObjectNode();
        reply.put("server", mName).put("path", path).put("executions", executions);
        String requestId = request.requestHeaders().get(REQUEST_ID, "");
        return switch (fault) {
            case CLOSE_AFTER -> closeConnection(response);
            case SILENT -> Mono.never();
            case MISMATCHED -> respondJson(response.header(REQUEST_ID, "another-request"), reply);
            case LATE ->
                    Mono.delay(mActiveFault.delay())
                            .then(respondJson(response.header(REQUEST_ID, requestId), reply));
            case CLOSE_BEFORE, NONE ->
                    countWhileRunning(respondJson(response.header(REQUEST_ID, requestId), reply));
        };
    }

    private Mono<Void> countWhileRunning(Mono<Void> call) {
        mRunning.incrementAndGet();
        return call.doFinally(signal -> mRunning.decrementAndGet());
    }

    private static Mono<Void> closeConnection(HttpServerResponse response) {
        response.withConnection(connection -> connection.channel().close());
        return Mono.never();
    }

    private Mono<Void> handleFault(HttpServerResponse response, String body) {
        try {
            JsonNode command = mMapper.readTree(body);
            setFault(
                    ServiceFault.parse(command.path("fault").asText("none")),
                    command.path("times").asInt(1),
                    Duration.ofMillis(command.path("delay_millis").asLong(1_000)));
            return respondJson(response, command);
        } catch (IOException | IllegalArgumentException exception) {
            return response.status(400).send();
        }
    }

    private ObjectNode statusJson() {
        ObjectNode status = mMapper.createObjectNode();
        status.put("incarnation", mIncarnation);
        status.put("uptime_millis", (System.nanoTime() - mStartNanos) / 1_000_000);
        status.put("running", mRunning.get());
        return status;
    }

    private static Mono<Void> respondJson(HttpServerResponse response, JsonNode body) {
        return response.header("Content-Type", "application/json")
                .sendString(Mono.just(body.toString()))
                .then();
    }

    private static Map<String, String> headers(HttpServerRequest request) {
        Map<String, String> headers = new HashMap<>();
        request.requestHeaders()
                .forEach(
                        header ->
                                headers.merge(
                                        header.getKey().toLowerCase(Locale.ROOT),
                                        header.getValue(),
                                        (first, second) -> first + ", " + second));
        return headers;
    }
}
