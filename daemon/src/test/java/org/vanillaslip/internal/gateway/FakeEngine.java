package org.vanillaslip.internal.gateway;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiFunction;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Model engine that responds to each connection with the next script. */
final class FakeEngine {

    /** Returns the lines of one connection, given the request id and the resume offset. */
    interface ResponseScript extends BiFunction<String, Integer, Flux<String>> {}

    final Queue<ResponseScript> mResponseScripts = new ConcurrentLinkedQueue<>();
    final List<String> mReceivedRequests = new CopyOnWriteArrayList<>();
    final List<Integer> mResumeOffsets = new CopyOnWriteArrayList<>();
    final List<String> mCancelledRequestIds = new CopyOnWriteArrayList<>();
    volatile String mIncarnation = "first";
    volatile int mStatus = 200;
    volatile String mResponseRequestId = "";
    private final DisposableServer mServer;

    FakeEngine() {
        mServer = HttpServer.create().host("127.0.0.1").port(0).handle(this::handle).bindNow();
    }

    String address() {
        return "127.0.0.1:" + mServer.port();
    }

    void stop() {
        mServer.disposeNow();
    }

    static String tokenEvent(String id, int offset) {
        return "data: {\"request_id\":\"%s\",\"offset\":%d,\"token\":\"t%d \"}\n\n"
                .formatted(id, offset, offset);
    }

    static String finalEvents(String id, int tokens) {
        String format =
                "data: {\"request_id\":\"%s\",\"finish_reason\":\"stop\",\"usage\":"
                        + "{\"prompt_tokens\":2,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n";
        return format.formatted(id, tokens);
    }

    static Flux<String> tokenEvents(String id, int from, int to) {
        return Flux.range(from, Math.max(0, to - from)).map(offset -> tokenEvent(id, offset));
    }

    static ResponseScript completeResponse(int tokens) {
        return (id, offset) ->
                tokenEvents(id, offset, tokens).concatWith(Mono.just(finalEvents(id, tokens)));
    }

    private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        if (request.method().name().equals("DELETE")) {
            mCancelledRequestIds.add(request.uri().substring("/v1/requests/".length()));
            return response.status(204).send();
        }
        String id = request.requestHeaders().get("X-Request-Id");
        int offset = request.requestHeaders().getInt("X-Resume-Offset");
        return request.receive()
                .aggregate()
                .asString()
                .flatMap(
                        body -> {
                            mReceivedRequests.add(request.requestHeaders() + " " + body);
                            mResumeOffsets.add(offset);
                            ResponseScript script = mResponseScripts.poll();
                            Flux<String> lines =
                                    (script == null ? completeResponse(3) : script)
                                            .apply(id, offset);
                            return response.status(mStatus)
                                    .header(
                                            "X-Request-Id",
                                            mResponseRequestId.isEmpty() ? id : mResponseRequestId)
                                    .header("X-Incarnation", mIncarnation)
                                    .header("Content-Type", "text/event-stream")
                                    .send(
                                            lines.map(
                                                    line ->
                                                            Unpooled.copiedBuffer(
                                                                    line, StandardCharsets.UTF_8)),
                                            buffer -> true)
                                    .then();
                        });
    }
}
