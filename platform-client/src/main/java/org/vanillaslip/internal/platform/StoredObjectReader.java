package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Reads the objects {@code {metadata: {name, VERSION}, spec}} of a store, each part by itself. A
 * part that cannot be read is replaced by an empty one and named in the fault of its object.
 */
public final class StoredObjectReader {

    private static final JsonSlice EMPTY_OBJECT = JsonSlice.of(new byte[] {'{', '}'});

    /** Limits what one fault takes in memory and in the log. */
    private static final int MAX_FAULT_LENGTH = 300;

    private final ObjectMapper mMapper;
    private final String mVersionField;

    /**
     * Creates a reader.
     *
     * @param versionField field of the metadata with the version
     */
    public StoredObjectReader(ObjectMapper mapper, String versionField) {
        mMapper = mapper;
        mVersionField = versionField;
    }

    /** Reads an object; never throws for what its writer has written. */
    public StoredObject read(String collection, JsonSlice object) {
        List<String> faults = new ArrayList<>();
        Map<String, JsonSlice> fields = fields(object, "object", faults);
        Map<String, JsonSlice> metadata =
                fields(fields.getOrDefault("metadata", EMPTY_OBJECT), "metadata", faults);
        return new StoredObject(
                collection,
                name(metadata.get("name"), faults),
                version(metadata.get(mVersionField), faults),
                spec(fields.get("spec"), faults),
                faults.isEmpty() ? Optional.empty() : Optional.of(limit(faults.toString())));
    }

    /** Returns the name of an object, or an empty one if it has none. */
    public String name(JsonSlice object) {
        List<String> ignored = new ArrayList<>();
        Map<String, JsonSlice> fields = fields(object, "object", ignored);
        JsonSlice metadata = fields.getOrDefault("metadata", EMPTY_OBJECT);
        return name(fields(metadata, "metadata", ignored).get("name"), ignored);
    }

    /** Returns a field with an integer, or throws if there is none. */
    public long requiredVersion(Map<String, JsonSlice> fields, String field) {
        List<String> faults = new ArrayList<>();
        long version = version(fields.get(field), faults);
        if (!fields.containsKey(field) || !faults.isEmpty()) {
            throw new IllegalArgumentException(field + " is missing or no version: " + faults);
        }
        return version;
    }

    /** Parses a value; throws {@link IllegalArgumentException} if it is no valid JSON. */
    public JsonNode parse(JsonSlice value) {
        try {
            return mMapper.readTree(value.bytes());
        } catch (IOException malformed) {
            throw new IllegalArgumentException(limit(malformed.toString()), malformed);
        }
    }

    private static Map<String, JsonSlice> fields(
            JsonSlice object, String part, List<String> faults) {
        try {
            return object.fields();
        } catch (IllegalArgumentException malformed) {
            faults.add(part + ": " + malformed.getMessage());
            return Map.of();
        }
    }

    private String name(@Nullable JsonSlice value, List<String> faults) {
        if (value == null) {
            faults.add("name is missing");
            return "";
        }
        try {
            return parse(value).asText();
        } catch (IllegalArgumentException malformed) {
            faults.add("name: " + malformed.getMessage());
            return value.rawText();
        }
    }

    private long version(@Nullable JsonSlice value, List<String> faults) {
        if (value == null) {
            return 0;
        }
        try {
            return StoreVersion.of(0, parse(value).asLong());
        } catch (IllegalArgumentException malformed) {
            faults.add(mVersionField + ": " + malformed.getMessage());
            return 0;
        }
    }

    private ObjectNode spec(@Nullable JsonSlice value, List<String> faults) {
        if (value == null) {
            return JsonNodeFactory.instance.objectNode();
        }
        try {
            JsonNode spec = parse(value);
            if (spec instanceof ObjectNode object) {
                return object;
            }
            faults.add("spec is " + spec.getNodeType() + ", not an object");
        } catch (IllegalArgumentException malformed) {
            faults.add("spec: " + malformed.getMessage());
        }
        return JsonNodeFactory.instance.objectNode();
    }

    private static String limit(String text) {
        return text.length() <= MAX_FAULT_LENGTH ? text : text.substring(0, MAX_FAULT_LENGTH);
    }
}
