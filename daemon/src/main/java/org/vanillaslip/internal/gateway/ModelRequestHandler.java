package org.vanillaslip.internal.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.vanillaslip.ModelName;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.admission.PlanCheck;
import org.vanillaslip.internal.admission.TokenEstimate;
import org.vanillaslip.internal.backend.forward.CompletionEvent;
import org.vanillaslip.internal.backend.forward.ModelCall;
import org.vanillaslip.internal.backend.forward.ModelForwarder;
import org.vanillaslip.internal.control.PlacementView;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Handles requests on model routes. */
final class ModelRequestHandler {

    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_TOKENS_LIMIT = 1_000_000;

    /** Prompts with the same leading characters can share a cached prefix on an engine. */
    private static final int PREFIX_LENGTH_CHARACTERS = 256;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final PlacementView mPlacement;
    private final RetryingForwarder mRetryingForwarder;
    private final ModelForwarder mForwarder;
    private final RequestCharger mCharger;

    ModelRequestHandler(
            PlacementView placement,
            RetryingForwarder retryingForwarder,
            ModelForwarder forwarder,
            RequestCharger charger) {
        mPlacement = placement;
        mRetryingForwarder = retryingForwarder;
        mForwarder = forwarder;
        mCharger = charger;
    }

    CallerResponse handle(CallerRequest request) {
        JsonNode body = parse(request);
        ModelName model = ModelName.parse(body.path("model").asText());
        PlanCheck.check(request.configuration(), request.route(), request.caller(), model)
                .peekLeft(
                        refusal -> {
                            throw new RefusedException(refusal);
                        });
        long maximumTokens = body.path("max_tokens").asLong(DEFAULT_MAX_TOKENS);
        if (maximumTokens <= 0 || maximumTokens > MAX_TOKENS_LIMIT) {
            throw malformed("max_tokens");
        }
        ModelCall call =
                new ModelCall(
                        request.id(),
                        model,
                        body.path("prompt").asText(),
                        maximumTokens,
                        request.route().requestClass(),
                        request.route().repeatable());
        Flux<CompletionEvent> events = events(request, call);
        return body.path("stream").asBoolean(false)
                ? CallerResponse.events(events)
                : CallerResponse.buffered(bufferedResponse(request, events));
    }

    private Flux<CompletionEvent> events(CallerRequest request, ModelCall call) {
        long estimatedTokens = TokenEstimate.of(call.prompt(), call.maximumTokens());
        return mCharger.runCharged(
                request,
                estimatedTokens,
                usage -> {
                    mPlacement.recordArrival(call.model());
                    return mRetryingForwarder
                            .run(
                                    request,
                                    target(request, call.model()),
                                    estimatedTokens,
                                    OptionalLong.of(prefixHash(call)),
                                    replica ->
                                            mForwarder.streamCompletion(
                                                    replica.server(),
                                                    call,
                                                    request.sendState()::recordSent))
                            .doOnNext(
                                    event -> {
                                        if (!event.isLast()) {
                                            request.metrics().recordToken();
                                        } else {
                                            usage.report(
                                                    event.promptTokens()
                                                            + event.completionTokens());
                                        }
                                    });
                });
    }

    private Target target(CallerRequest request, ModelName model) {
        return new Target(
                "model " + model,
                () -> mPlacement.replicas(model),
                wait -> mPlacement.activate(model, wait),
                () -> mPlacement.withdraw(model),
                configuration ->
                        PlanCheck.check(configuration, request.route(), request.caller(), model)
                                .swap()
                                .toJavaOptional());
    }

    private static long prefixHash(ModelCall call) {
        int length = Math.min(PREFIX_LENGTH_CHARACTERS, call.prompt().length());
        return call.prompt().substring(0, length).hashCode() * 31L + call.model().hashCode();
    }

    /**
     * Emits after the last event only, so that an incomplete response is never sent as complete.
     */
    private static Mono<BufferedResponse> bufferedResponse(
            CallerRequest request, Flux<CompletionEvent> events) {
        return events.collectList()
                .map(
                        received -> {
                            StringBuilder text = new StringBuilder();
                            received.forEach(event -> text.append(event.token()));
                            CompletionEvent last = received.get(received.size() - 1);
                            ObjectNode json = MAPPER.createObjectNode();
                            json.put("request_id", request.id());
                            json.put("text", text.toString());
                            json.put("finish_reason", last.finishReason());
                            json.putObject("usage")
                                    .put("prompt_tokens", last.promptTokens())
                                    .put("completion_tokens", last.completionTokens());
                            return BufferedResponse.of(
                                    200,
                                    "application/json",
                                    json.toString().getBytes(StandardCharsets.UTF_8));
                        });
    }

    private static JsonNode parse(CallerRequest request) {
        if (!request.method().equals("POST")) {
            throw malformed("use POST");
        }
        JsonNode body;
        try {
            body = MAPPER.readTree(request.body());
        } catch (IOException unreadable) {
            throw malformed("not valid JSON");
        }
        if (!body.path("model").isTextual() || !body.path("prompt").isTextual()) {
            throw malformed("'model' and 'prompt' have to be texts without the key");
        }
        return body;
    }

    private static RefusedException malformed(String detail) {
        return new RefusedException(Refusal.of(ResultCode.MALFORMED_BODY, detail));
    }
}
