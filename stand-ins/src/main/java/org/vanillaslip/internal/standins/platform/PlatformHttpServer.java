package org.vanillaslip.internal.standins.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.vanillaslip.internal.platform.ObjectJsonCodec;
import org.vanillaslip.internal.platform.PlatformException;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** HTTP server for the object API, with extra paths to inject faults and read call counts. */
public final class PlatformHttpServer {

    private final ObjectStorage mStorage;
    private final PlatformFaults mFaults;
    private final CallCounts mCounts;
    private final ObjectJsonCodec mCodec;

    /** Creates a server for the storage. */
    public PlatformHttpServer(
            ObjectStorage storage,
            PlatformFaults faults,
            CallCounts counts,
            ObjectJsonCodec codec) {
        mStorage = storage;
        mFaults = faults;
        mCounts = counts;
        mCodec = codec;
    }

    /** Binds to the port on the loopback address; port 0 selects a free port. */
    public Mono<? extends DisposableServer> bind(int port) {
        return HttpServer.create().host("127.0.0.1").port(port).handle(this::handle).bind();
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        String path = request.uri();
        if (path.equals("/faults") && request.method().name().equals("POST")) {
            return readBody(request)
                    .doOnNext(body -> new FaultUpdater(mFaults, mStorage).apply(body))
                    .then(respond(response, 200, JsonNodeFactory.instance.objectNode()))
                    .onErrorResume(
                            IllegalArgumentException.class,
                            cause -> respondBadRequest(response, cause));
        }
        if (path.equals("/counts")) {
            return respond(response, 200, countsJson());
        }
        Optional<PlatformRequest> call = PlatformRequest.parse(request);
        return call.isEmpty()
                ? respond(response, 404, statusJson(404))
                : handleCall(call.get(), request, response);
    }

    private Publisher<Void> handleCall(
            PlatformRequest call, HttpServerRequest request, HttpServerResponse response) {
        mCounts.increment(call.kind());
        if (!mFaults.isReachableFrom(call.failureDomain())) {
            return closeConnection(response);
        }
        Optional<Duration> retryAfter = mFaults.consumeThrottledCall();
        if (retryAfter.isPresent()) {
            response.header("Retry-After", Long.toString(retryAfter.get().toSeconds()));
            return respond(response, 429, statusJson(429));
        }
        if (call.kind() == CallKind.WATCH) {
            return streamWatch(call, response);
        }
        return readBody(request)
                .flatMap(body -> executeAndRespond(call, body, response))
                .onErrorResume(
                        IllegalArgumentException.class,
                        cause -> respondBadRequest(response, cause));
    }

    private Mono<Void> executeAndRespond(
            PlatformRequest call, ObjectNode body, HttpServerResponse response) {
        Either<PlatformFailure, ObjectNode> result = execute(call, body);
        if (call.kind().isWrite() && mFaults.consumeLostWriteAnswer()) {
            return closeConnection(response);
        }
        int successStatus = call.kind() == CallKind.CREATE ? 201 : 200;
        int status = result.isRight() ? successStatus : toHttpStatus(result.getLeft());
        Mono<Void> reply =
                respond(response, status, result.getOrElseGet(failure -> statusJson(status)));
        Duration latency = mFaults.latency();
        return latency.isZero() ? reply : Mono.delay(latency).then(reply);
    }

    private Either<PlatformFailure, ObjectNode> execute(PlatformRequest call, ObjectNode body) {
        String collection = call.collection();
        StoredObject object = mCodec.decodeObject(collection, body);
        long version = object.version();
        return switch (call.kind()) {
            case READ -> mStorage.read(collection, call.name()).map(mCodec::encode);
            case CREATE ->
                    mStorage.create(collection, requireName(object), object.spec())
                            .map(mCodec::encode);
            case UPDATE ->
                    mStorage.update(collection, call.name(), version, object.spec())
                            .map(mCodec::encode);
            case DELETE -> mStorage.delete(collection, call.name(), version).map(mCodec::encode);
            default -> Either.right(mCodec.encode(mStorage.list(collection)));
        };
    }

    private Publisher<Void> streamWatch(PlatformRequest call, HttpServerResponse response) {
        Flux<byte[]> lines =
                new WatchFaultInjector(mFaults)
                        .apply(
                                call.failureDomain(),
                                mStorage.watch(call.collection(), call.watchVersion()))
                        .map(event -> toLine(mCodec.encode(event)))
                        .onErrorResume(
                                cause ->
                                        cause instanceof PlatformException failure
                                                && failure.failure() == PlatformFailure.GONE,
                                cause -> Flux.just(toLine(goneEvent())));
        // The newline sends the headers before the first event, so the caller knows that the watch
        // is open.
        return response.status(200)
                .header("Content-Type", "application/json")
                .send(
                        Flux.concat(Flux.just(new byte[] {'\n'}), lines)
                                .map(Unpooled::wrappedBuffer),
                        buffer -> true)
                .then()
                .onErrorResume(cause -> closeConnection(response));
    }

    private Mono<ObjectNode> readBody(HttpServerRequest request) {
        return request.receive()
                .asByteArray()
                .collect(ByteArrayOutputStream::new, ByteArrayOutputStream::writeBytes)
                .map(
                        bytes ->
                                bytes.size() == 0
                                        ? JsonNodeFactory.instance.objectNode()
                                        : mCodec.parse(bytes.toByteArray()));
    }

    private Mono<Void> respond(HttpServerResponse response, int status, ObjectNode body) {
        return response.status(status)
                .header("Content-Type", "application/json")
                .sendByteArray(Mono.fromSupplier(() -> mCodec.toBytes(body)))
                .then();
    }

    private Mono<Void> respondBadRequest(HttpServerResponse response, Throwable cause) {
        return respond(response, 400, statusJson(400).put("message", cause.getMessage()));
    }

    private static Mono<Void> closeConnection(HttpServerResponse response) {
        return Mono.fromRunnable(() -> response.withConnection(Connection::dispose));
    }

    private ObjectNode countsJson() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        for (CallKind kind : CallKind.values()) {
            node.put(kind.name().toLowerCase(Locale.ROOT), mCounts.of(kind));
        }
        return node;
    }

    private byte[] toLine(ObjectNode node) {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        line.writeBytes(mCodec.toBytes(node));
        line.write('\n');
        return line.toByteArray();
    }

    private static ObjectNode goneEvent() {
        ObjectNode node = JsonNodeFactory.instance.objectNode().put("type", "ERROR");
        node.set("object", statusJson(410));
        return node;
    }

    private static ObjectNode statusJson(int code) {
        return JsonNodeFactory.instance.objectNode().put("kind", "Status").put("code", code);
    }

    private static String requireName(StoredObject object) {
        if (object.name().isEmpty()) {
            throw new IllegalArgumentException("The field 'metadata.name' is missing.");
        }
        return object.name();
    }

    private static int toHttpStatus(PlatformFailure failure) {
        return switch (failure) {
            case NOT_FOUND -> 404;
            case CONFLICT -> 409;
            case GONE -> 410;
            case THROTTLED -> 429;
            default -> 503;
        };
    }
}
