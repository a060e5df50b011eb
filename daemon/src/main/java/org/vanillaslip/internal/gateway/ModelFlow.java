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

/** Requests of model routes. */
final class ModelFlow {

    private static final int DEFAULT_MAXIMUM_TOKENS = 256;
    private static final int MOST_MAXIMUM_TOKENS = 1_000_000;

    /** Prompts that share this beginning share cached prefixes on an engine. */
    private static final int PREFIX_CHARACTERS = 256;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final PlacementView mPlacement;
    private final Forwarding mForwarding;
    private final ModelForwarder mForwarder;
    private final Charging mCharging;

    ModelFlow(
            PlacementView placement,
            Forwarding forwarding,
            ModelForwarder forwarder,
            Charging charging) {
        mPlacement = placement;
        mForwarding = forwarding;
        mForwarder = forwarder;
        mCharging = charging;
    }

    Reply handle(CallerRequest request) {
        JsonNode body = parse(request);
        ModelName model = ModelName.parse(body.path("model").asText());
        PlanCheck.check(request.configuration(), request.route(), request.caller(), model)
                .peekLeft(
                        refusal -> {
                            throw new RefusedException(refusal);
                        });
        long maximumTokens = body.path("max_tokens").asLong(DEFAULT_MAXIMUM_TOKENS);
        if (maximumTokens <= 0 || maximumTokens > MOST_MAXIMUM_TOKENS) {
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
                ? Reply.stream(events)
                : Reply.whole(whole(request, events));
    }

    private Flux<CompletionEvent> events(CallerRequest request, ModelCall call) {
        long estimate = TokenEstimate.of(call.prompt(), call.maximumTokens());
        return mCharging.charged(
                request,
                estimate,
                charge -> {
                    mPlacement.recordArrival(call.model());
                    return mForwarding
                            .run(
                                    request,
                                    target(request, call.model()),
                                    estimate,
                                    OptionalLong.of(prefixHash(call)),
                                    replica ->
                                            mForwarder.streamCompletion(
                                                    replica.server(),
                                                    call,
                                                    request.trace()::markSent))
                            .doOnNext(
                                    event -> {
                                        if (!event.isLast()) {
                                            request.meter().token();
                                        } else {
                                            charge.used(
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
        int length = Math.min(PREFIX_CHARACTERS, call.prompt().length());
        return call.prompt().substring(0, length).hashCode() * 31L + call.model().hashCode();
    }

    /** Emits only after the last event, so an incomplete answer never looks whole. */
    private static Mono<WholeReply> whole(CallerRequest request, Flux<CompletionEvent> events) {
        return events.collectList()
                .map(
                        all -> {
                            StringBuilder text = new StringBuilder();
                            all.forEach(event -> text.append(event.token()));
                            CompletionEvent last = all.get(all.size() - 1);
                            ObjectNode answer = MAPPER.createObjectNode();
                            answer.put("request_id", request.id());
                            answer.put("text", text.toString());
                            answer.put("finish_reason", last.finishReason());
                            answer.putObject("usage")
                                    .put("prompt_tokens", last.promptTokens())
                                    .put("completion_tokens", last.completionTokens());
                            return WholeReply.of(
                                    200,
                                    "application/json",
                                    answer.toString().getBytes(StandardCharsets.UTF_8));
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
