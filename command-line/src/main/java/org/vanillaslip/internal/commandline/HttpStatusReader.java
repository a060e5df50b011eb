package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.Optional;
import reactor.netty.http.client.HttpClient;

/** Reads the status of a host over HTTP. */
final class HttpStatusReader implements StatusReader {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient mClient;
    private final ObjectMapper mMapper;

    HttpStatusReader(HttpClient client, ObjectMapper mapper) {
        mClient = client;
        mMapper = mapper;
    }

    @Override
    public Optional<JsonNode> read(String address) {
        return mClient.responseTimeout(TIMEOUT)
                .get()
                .uri("http://" + address + "/status")
                .responseContent()
                .aggregate()
                .asString()
                .timeout(TIMEOUT)
                .mapNotNull(this::parse)
                .onErrorComplete()
                .blockOptional();
    }

    private JsonNode parse(String text) {
        try {
            return mMapper.readTree(text);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException("The host sent malformed JSON.", exception);
        }
    }
}
