package org.vanillaslip.internal.backend;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.internal.http.FinalStatusCheck;
import org.vanillaslip.internal.placement.Order;
import org.vanillaslip.internal.placement.OrderAction;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Sends orders to backend servers and reads their status, without retries. */
public final class EngineClient {

    private final HttpClient mHttp;
    private final ObjectMapper mJson =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .build();

    /**
     * Creates a client.
     *
     * @param timeout limit for one request, after which its connection is closed
     */
    public EngineClient(HttpClient http, Duration timeout) {
        // The retry of the HTTP library would send an order twice without our knowledge.
        mHttp = FinalStatusCheck.addTo(http).disableRetry(true).responseTimeout(timeout);
    }

    /** Sends an order once. */
    public Mono<OrderOutcome> sendOrder(BackendServer server, Order order) {
        byte[] body = orderBody(order).toString().getBytes(StandardCharsets.UTF_8);
        return mHttp.headers(
                        headers -> headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json"))
                .post()
                .uri("http://" + server.address() + "/v1/orders")
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                .responseSingle(
                        (response, content) ->
                                content.asString()
                                        .defaultIfEmpty("")
                                        .map(text -> orderOutcome(response.status().code())))
                .onErrorReturn(OrderOutcome.UNKNOWN);
    }

    /** Reads the status of a server; empty if there is no usable response. */
    public Mono<Optional<EngineStatus>> status(BackendServer server, long requestedNanos) {
        boolean isModelEngine = server.kind() == BackendKind.MODEL_ENGINE;
        return mHttp.get()
                .uri("http://" + server.address() + (isModelEngine ? "/v1/status" : "/status"))
                .responseSingle(
                        (response, content) ->
                                response.status().code() == 200
                                        ? content.asByteArray()
                                        : content.asByteArray().then(Mono.empty()))
                .map(body -> parseStatus(server, body, requestedNanos))
                .onErrorReturn(Optional.empty())
                .defaultIfEmpty(Optional.empty());
    }

    private static OrderOutcome orderOutcome(int status) {
        if (status == 202) {
            return OrderOutcome.ACCEPTED;
        }
        return status == 409 ? OrderOutcome.REFUSED : OrderOutcome.UNKNOWN;
    }

    private Optional<EngineStatus> parseStatus(
            BackendServer server, byte[] body, long requestedNanos) {
        try {
            StatusBody status = mJson.readValue(body, StatusBody.class);
            return Optional.of(status.toEngineStatus(server.name(), requestedNanos));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private ObjectNode orderBody(Order order) {
        boolean isLoad = order.action() == OrderAction.LOAD;
        return mJson.createObjectNode()
                .put("decision", order.decision())
                .put("term", order.term())
                .put("incarnation", order.incarnation())
                .put("action", isLoad ? "load" : "unload")
                .put("model", order.model())
                .put("version", order.version())
                .put("adapter", order.adapter())
                .put("source", order.source());
    }
}
