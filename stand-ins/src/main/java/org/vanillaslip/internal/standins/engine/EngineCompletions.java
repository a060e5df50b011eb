package org.vanillaslip.internal.standins.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Streams and cancels completions. */
final class EngineCompletions {

    private final ObjectMapper mMapper;
    private final EngineSettings mSettings;
    private final Supplier<EngineProcess> mProcess;
    private final CompletionStream mCompletionStream;
    private final Map<String, Sinks.Empty<Void>> mCancelSignals = new ConcurrentHashMap<>();

    EngineCompletions(
            ObjectMapper mapper, EngineSettings settings, Supplier<EngineProcess> process) {
        mMapper = mapper;
        mSettings = settings;
        mProcess = process;
        mCompletionStream = new CompletionStream(mapper, settings.tokenInterval());
    }

    Mono<Void> post(
            HttpServerRequest request,
            HttpServerResponse response,
            String body,
            EngineFaults faults) {
        CompletionRequest completion = EngineHttp.parse(mMapper, body, CompletionRequest.class);
        EngineProcess process = mProcess.get();
        String requestId = header(request, "X-Request-Id", "");
        int offset = Integer.parseInt(header(request, "X-Resume-Offset", "0"));
        String model = completion.model();
        String adapter = completion.adapterName();
        if (!process.mRequestCounter.tryStartRequest(mSettings.capacity())) {
            return respondRefused(response, requestId, 429, "overloaded");
        } else if (!process.mModels.tryStartRequest(model, adapter)) {
            process.mRequestCounter.finishRequest();
            return respondRefused(response, requestId, 404, "model not loaded");
        }
        String echoedRequestId = faults.wrongRequestId() ? "other-" + requestId : requestId;
        Sinks.Empty<Void> cancelSignal = Sinks.empty();
        mCancelSignals.put(requestId, cancelSignal);
        Flux<String> events =
                mCompletionStream
                        .events(echoedRequestId, completion, offset, faults)
                        .takeUntilOther(cancelSignal.asMono())
                        .doFinally(
                                signal -> {
                                    mCancelSignals.remove(requestId, cancelSignal);
                                    process.mModels.finishRequest(model, adapter);
                                    process.mRequestCounter.finishRequest();
                                });
        if (faults.dropAfter()) {
            return events.then(EngineHttp.closeConnection(response));
        }
        return response.header("Content-Type", "text/event-stream")
                .header("X-Request-Id", echoedRequestId)
                .header("X-Incarnation", process.mModels.incarnation())
                .send(
                        events.map(EngineCompletions::toBuffer)
                                .onErrorResume(
                                        IOException.class,
                                        fault ->
                                                EngineHttp.closeConnection(response)
                                                        .cast(io.netty.buffer.ByteBuf.class)),
                        buffer -> true)
                .then();
    }

    Mono<Void> cancel(
            HttpServerRequest request,
            HttpServerResponse response,
            String body,
            EngineFaults faults) {
        String requestId = request.param("id");
        Sinks.Empty<Void> cancelSignal = requestId == null ? null : mCancelSignals.get(requestId);
        if (cancelSignal == null) {
            return response.status(404).send();
        }
        cancelSignal.tryEmitEmpty();
        return response.status(204).send();
    }

    /** Ends all running streams with an error, as a process exit does. */
    void breakAllStreams() {
        mCancelSignals
                .values()
                .forEach(cancelSignal -> cancelSignal.tryEmitError(new IOException("restarted")));
    }

    private Mono<Void> respondRefused(
            HttpServerResponse response, String requestId, int status, String reason) {
        response.header("X-Request-Id", requestId);
        return EngineHttp.respondJson(mMapper, response, status, Map.of("reason", reason));
    }

    private static io.netty.buffer.ByteBuf toBuffer(String event) {
        return Unpooled.wrappedBuffer(event.getBytes(StandardCharsets.UTF_8));
    }

    private static String header(HttpServerRequest request, String name, String defaultValue) {
        String value = request.requestHeaders().get(name);
        return value == null ? defaultValue : value;
    }
}
