package org.vanillaslip.internal.standins.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Creates the server-sent events of completions. */
final class CompletionStream {

    private static final Duration KEEP_ALIVE_INTERVAL = Duration.ofSeconds(2);

    private final ObjectMapper mMapper;
    private final Duration mTokenInterval;

    CompletionStream(ObjectMapper mapper, Duration tokenInterval) {
        mMapper = mapper;
        mTokenInterval = tokenInterval;
    }

    /** Returns the events from the given token offset on, with the faults applied. */
    Flux<String> events(
            String requestId, CompletionRequest request, int fromOffset, EngineFaults faults) {
        int count = Math.max(0, request.maxTokens() - fromOffset);
        Flux<String> tokens =
                tokenIndexes(count)
                        .map(
                                index ->
                                        tokenEvent(
                                                requestId,
                                                request,
                                                fromOffset + (int) index.longValue()));
        if (faults.breakAfterTokens() > 0) {
            return tokens.take(faults.breakAfterTokens())
                    .concatWith(Flux.error(new IOException("stream closed by an injected fault")));
        } else if (faults.silentAfterTokens() > 0) {
            return tokens.take(faults.silentAfterTokens()).concatWith(Flux.never());
        }
        Flux<String> response =
                tokens.concatWith(Mono.fromSupplier(() -> finishEvent(requestId, request)))
                        .concatWithValues("data: [DONE]\n\n");
        return withKeepAlive(response);
    }

    private Flux<Long> tokenIndexes(int count) {
        if (count == 0) {
            return Flux.empty();
        } else if (mTokenInterval.isZero()) {
            return Flux.range(0, count).map(Integer::longValue);
        }
        return Flux.interval(mTokenInterval).onBackpressureBuffer().take(count);
    }

    private static Flux<String> withKeepAlive(Flux<String> response) {
        return response.publish(
                shared ->
                        Flux.merge(
                                shared,
                                Flux.interval(KEEP_ALIVE_INTERVAL)
                                        .map(tick -> ": keep-alive\n\n")
                                        .onBackpressureDrop()
                                        .takeUntilOther(shared.ignoreElements())));
    }

    private String tokenEvent(String requestId, CompletionRequest request, int offset) {
        ObjectNode event = mMapper.createObjectNode();
        event.put("request_id", requestId).put("offset", offset);
        return "data: " + event.put("token", request.tokenAt(offset)) + "\n\n";
    }

    private String finishEvent(String requestId, CompletionRequest request) {
        ObjectNode event = mMapper.createObjectNode();
        event.put("request_id", requestId).put("finish_reason", "stop");
        event.putObject("usage")
                .put("prompt_tokens", request.promptTokens())
                .put("completion_tokens", request.maxTokens());
        return "data: " + event + "\n\n";
    }
}
