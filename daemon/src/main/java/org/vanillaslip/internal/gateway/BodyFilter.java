package org.vanillaslip.internal.gateway;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.admission.CredentialFilter;

/** Removes the caller's API key from request bodies. */
final class BodyFilter {

    // Duplicate members are rejected: the parser would keep only one, and the key could pass
    // unnoticed in the other.
    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS);

    private BodyFilter() {}

    /**
     * Returns the body without the values that contain the key.
     *
     * @throws RefusedException if the body cannot be parsed or the key cannot be removed from it
     */
    static byte[] filter(byte[] body, String contentType, CredentialFilter filter) {
        if (body.length == 0) {
            return body;
        }
        if (contentType.startsWith("application/x-www-form-urlencoded")) {
            String form = new String(body, StandardCharsets.UTF_8);
            return filter.query(form).getBytes(StandardCharsets.UTF_8);
        }
        if (contentType.contains("json") || body[0] == '{' || body[0] == '[') {
            return filterJson(body, filter);
        }
        if (filter.containsKey(new String(body, StandardCharsets.UTF_8))) {
            throw malformed("the body contains the key");
        }
        return body;
    }

    private static byte[] filterJson(byte[] body, CredentialFilter filter) {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (IOException unreadable) {
            throw malformed("not valid JSON");
        }
        if (!root.isContainerNode() && filter.containsKey(root.asText())) {
            throw malformed("the body contains the key");
        }
        return removeKey(root, filter) ? root.toString().getBytes(StandardCharsets.UTF_8) : body;
    }

    private static boolean removeKey(JsonNode node, CredentialFilter filter) {
        boolean removed = false;
        if (node instanceof ObjectNode object) {
            List<String> names = new ArrayList<>();
            object.fieldNames().forEachRemaining(names::add);
            for (String name : names) {
                if (filter.containsKey(name) || containsKey(object.get(name), filter)) {
                    object.remove(name);
                    removed = true;
                } else {
                    removed |= removeKey(object.get(name), filter);
                }
            }
        } else if (node instanceof ArrayNode array) {
            for (int index = array.size() - 1; index >= 0; index--) {
                if (containsKey(array.get(index), filter)) {
                    array.remove(index);
                    removed = true;
                } else {
                    removed |= removeKey(array.get(index), filter);
                }
            }
        }
        return removed;
    }

    private static boolean containsKey(JsonNode value, CredentialFilter filter) {
        return value.isValueNode() && filter.containsKey(value.asText());
    }

    private static RefusedException malformed(String detail) {
        return new RefusedException(Refusal.of(ResultCode.MALFORMED_BODY, detail));
    }
}
