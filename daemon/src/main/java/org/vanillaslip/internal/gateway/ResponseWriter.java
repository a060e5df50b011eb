package org.vanillaslip.internal.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.reactivestreams.Publisher;
import org.vanillaslip.Refusal;
import org.vanillaslip.internal.backend.forward.CompletionEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Writes HTTP responses to callers. */
final class ResponseWriter {

    private static final String REQUEST_ID = "X-Request-Id";

    private ResponseWriter() {}

    static Mono<Void> write(
            HttpServerResponse response, BufferedResponse bufferedResponse, String requestId) {
        response.status(bufferedResponse.status())
                .header(REQUEST_ID, requestId)
                .header("Content-Type", bufferedResponse.contentType())
                .header("Content-Length", Integer.toString(bufferedResponse.body().length));
        bufferedResponse.headers().forEach(response::header);
        return response.sendByteArray(Mono.just(bufferedResponse.body())).then();
    }

    /**
     * Writes a completion as server-sent events. The status is sent with the first event. A later
     * error is sent as an error event, and only a complete response ends with [DONE].
     */
    static Mono<Void> writeStream(
            HttpServerResponse response,
            Flux<CompletionEvent> events,
            String requestId,
            Function<Throwable, Refusal> toRefusal) {
        return events.switchOnFirst(
                        (first, all) ->
                                first.hasValue()
                                        ? sendEvents(response, all, requestId, toRefusal)
                                        : all.then())
                .then();
    }

    private static Publisher<Void> sendEvents(
            HttpServerResponse response,
            Flux<CompletionEvent> events,
            String requestId,
            Function<Throwable, Refusal> toRefusal) {
        AtomicLong offset = new AtomicLong();
        Flux<String> lines =
                events.map(event -> formatEvent(event, requestId, offset))
                        .onErrorResume(
                                error ->
                                        Mono.just(
                                                "event: error\ndata: "
                                                        + RefusalWriter.json(
                                                                toRefusal.apply(error), requestId)
                                                        + "\n\n"));
        response.header(REQUEST_ID, requestId)
                .header("Content-Type", "text/event-stream")
                .header("Cache-Control", "no-cache");
        return response.send(lines.map(ResponseWriter::toBuffer), buffer -> true).then();
    }

    private static String formatEvent(CompletionEvent event, String requestId, AtomicLong offset) {
        ObjectNode data = JsonNodeFactory.instance.objectNode();
        data.put("request_id", requestId);
        if (!event.isLast()) {
            data.put("offset", offset.getAndIncrement());
            data.put("token", event.token());
            return "data: " + data + "\n\n";
        }
        data.put("finish_reason", event.finishReason());
        data.putObject("usage")
                .put("prompt_tokens", event.promptTokens())
                .put("completion_tokens", event.completionTokens());
        return "data: " + data + "\n\ndata: [DONE]\n\n";
    }

    private static ByteBuf toBuffer(String text) {
        return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
    }
}
