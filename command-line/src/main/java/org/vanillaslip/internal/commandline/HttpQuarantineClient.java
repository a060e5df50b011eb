package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Reads and changes what a host keeps from the backend servers over HTTP. */
final class HttpQuarantineClient implements QuarantineClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final HttpClient mClient;
    private final ObjectMapper mMapper;

    HttpQuarantineClient(HttpClient client, ObjectMapper mapper) {
        mClient = client;
        mMapper = mapper;
    }

    @Override
    public Optional<JsonNode> list(String address) {
        return mClient.responseTimeout(TIMEOUT)
                .get()
                .uri(uri(address))
                .responseSingle(
                        (response, body) ->
                                response.status().code() == OK ? body.asString() : Mono.empty())
                .timeout(TIMEOUT)
                .mapNotNull(this::parse)
                .onErrorComplete()
                .blockOptional();
    }

    @Override
    public Optional<Boolean> release(String address, String subject) {
        String query = "?subject=" + URLEncoder.encode(subject, StandardCharsets.UTF_8);
        return mClient.responseTimeout(TIMEOUT)
                .delete()
                .uri(uri(address) + query)
                .response()
                .timeout(TIMEOUT)
                .map(response -> response.status().code())
                .filter(status -> status == OK || status == NOT_FOUND)
                .map(status -> status == OK)
                .onErrorComplete()
                .blockOptional();
    }

    private static String uri(String address) {
        return "http://" + address + "/quarantine";
    }

    private JsonNode parse(String text) {
        try {
            return mMapper.readTree(text);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException("The host sent malformed JSON.", exception);
        }
    }
}
