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

/** Streams completions of the stand-in engine, and cancels them. */
final class EngineCompletions {

    private final ObjectMapper mJson;
    private final EngineSettings mSettings;
    private final Supplier<EngineProcess> mProcess;
    private final CompletionStream mStream;
    private final Map<String, Sinks.Empty<Void>> mRunning = new ConcurrentHashMap<>();

    EngineCompletions(ObjectMapper json, EngineSettings settings, Supplier<EngineProcess> process) {
        mJson = json;
        mSettings = settings;
        mProcess = process;
        mStream = new CompletionStream(json, settings.tokenInterval());
    }

    Mono<Void> post(
            HttpServerRequest request,
            HttpServerResponse response,
            String body,
            EngineFaults faults) {
        CompletionRequest completion = EngineHttp.parse(mJson, body, CompletionRequest.class);
        EngineProcess process = mProcess.get();
        String requestId = header(request, "X-Request-Id", "");
        int offset = Integer.parseInt(header(request, "X-Resume-Offset", "0"));
        String model = completion.model();
        String adapter = completion.adapterName();
        if (!process.mLoad.enter(mSettings.capacity())) {
            return refuse(response, requestId, 429, "overloaded");
        } else if (!process.mModels.enter(model, adapter)) {
            process.mLoad.leave();
            return refuse(response, requestId, 404, "model not loaded");
        }
        String echoed = faults.wrongRequestId() ? "other-" + requestId : requestId;
        Sinks.Empty<Void> cancel = Sinks.empty();
        mRunning.put(requestId, cancel);
        Flux<String> events =
                mStream.events(echoed, completion, offset, faults)
                        .takeUntilOther(cancel.asMono())
                        .doFinally(
                                signal -> {
                                    mRunning.remove(requestId, cancel);
                                    process.mModels.leave(model, adapter);
                                    process.mLoad.leave();
                                });
        if (faults.dropAfter()) {
            return events.then(EngineHttp.drop(response));
        }
        return response.header("Content-Type", "text/event-stream")
                .header("X-Request-Id", echoed)
                .header("X-Incarnation", process.mModels.incarnation())
                .send(events.map(EngineCompletions::buffer), buffer -> true)
                .then();
    }

    Mono<Void> cancel(
            HttpServerRequest request,
            HttpServerResponse response,
            String body,
            EngineFaults faults) {
        String id = request.param("id");
        Sinks.Empty<Void> cancel = id == null ? null : mRunning.get(id);
        if (cancel == null) {
            return response.status(404).send();
        }
        cancel.tryEmitEmpty();
        return response.status(204).send();
    }

    /** Breaks all streams, as the end of the process does. */
    void breakAll() {
        mRunning.values().forEach(stream -> stream.tryEmitError(new IOException("restarted")));
    }

    private Mono<Void> refuse(
            HttpServerResponse response, String requestId, int status, String reason) {
        response.header("X-Request-Id", requestId);
        return EngineHttp.json(mJson, response, status, Map.of("reason", reason));
    }

    private static io.netty.buffer.ByteBuf buffer(String event) {
        return Unpooled.wrappedBuffer(event.getBytes(StandardCharsets.UTF_8));
    }

    private static String header(HttpServerRequest request, String name, String otherwise) {
        String value = request.requestHeaders().get(name);
        return value == null ? otherwise : value;
    }
}
