package org.vanillaslip.internal.standins.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** JSON and connection helpers of the engine's HTTP handlers. */
final class EngineHttp {

    private EngineHttp() {}

    static Mono<Void> respondJson(
            ObjectMapper mapper, HttpServerResponse response, int status, Object value) {
        try {
            return response.status(status)
                    .header("Content-Type", "application/json")
                    .sendString(Mono.just(mapper.writeValueAsString(value)))
                    .then();
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("Cannot serialize " + value.getClass(), e);
        }
    }

    static <T> T parse(ObjectMapper mapper, String body, Class<T> type) {
        try {
            return mapper.readValue(body, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "The body is not a valid " + type.getSimpleName(), e);
        }
    }

    /** Closes the connection without a response. */
    static Mono<Void> closeConnection(HttpServerResponse response) {
        response.withConnection(connection -> connection.channel().close());
        return Mono.never();
    }
}
