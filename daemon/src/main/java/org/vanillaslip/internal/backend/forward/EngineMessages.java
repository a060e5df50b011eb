package org.vanillaslip.internal.backend.forward;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Encodes and decodes the JSON messages of the model engine protocol. */
final class EngineMessages {

    private static final String DATA_FIELD = "data:";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EngineMessages() {}

    static byte[] completionRequest(ModelCall call) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("model", call.model().model());
        call.model().adapter().ifPresent(adapter -> body.put("adapter", adapter));
        body.put("prompt", call.prompt());
        body.put("max_tokens", call.maximumTokens());
        body.put("priority", call.requestClass().ordinal());
        body.put("stream", true);
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Parses an event line; empty for comments, blank lines and the end marker. */
    static Optional<JsonNode> parseEvent(String line) {
        String data = line.startsWith(DATA_FIELD) ? line.substring(DATA_FIELD.length()).trim() : "";
        if (data.isEmpty() || data.equals("[DONE]")) {
            return Optional.empty();
        }
        try {
            return Optional.of(MAPPER.readTree(data));
        } catch (JsonProcessingException malformed) {
            throw new ForwardException(ForwardFailureKind.BROKEN, false, "malformed event");
        }
    }
}
