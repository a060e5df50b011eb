package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.vanillaslip.internal.configuration.Fault;

/**
 * Reads the fields of a JSON object and collects a fault for each field that is missing, unknown or
 * of the wrong type. A faulty field is read as an empty value; the caller then rejects the whole
 * object because of the fault.
 */
final class FieldReader {

    private final String mObjectName;
    private final String mPath;
    private final JsonNode mNode;
    private final List<Fault> mFaults;
    private final Set<String> mReadFields = new HashSet<>();

    FieldReader(String objectName, JsonNode node) {
        this(objectName, "", node, new ArrayList<>());
    }

    private FieldReader(String objectName, String path, JsonNode node, List<Fault> faults) {
        mObjectName = objectName;
        mPath = path;
        mNode = node;
        mFaults = faults;
    }

    List<Fault> faults() {
        return mFaults;
    }

    String string(String field) {
        JsonNode value = readField(field);
        boolean accepted = value.isTextual() && !value.textValue().isBlank();
        return accepted
                ? value.textValue()
                : addFault(field, value, "a string that is not blank", "");
    }

    long longInteger(String field) {
        JsonNode value = readField(field);
        boolean accepted = value.isIntegralNumber() && value.canConvertToLong();
        return accepted ? value.longValue() : addFault(field, value, "a 64-bit integer", 0L);
    }

    int integer(String field) {
        JsonNode value = readField(field);
        boolean accepted = value.isIntegralNumber() && value.canConvertToInt();
        return accepted ? value.intValue() : addFault(field, value, "a 32-bit integer", 0);
    }

    boolean bool(String field) {
        JsonNode value = readField(field);
        return value.isBoolean()
                ? value.booleanValue()
                : addFault(field, value, "true or false", false);
    }

    Duration durationMillis(String field) {
        return Duration.ofMillis(longInteger(field));
    }

    <E extends Enum<E>> E enumConstant(String field, Class<E> type) {
        JsonNode value = readField(field);
        E[] constants = type.getEnumConstants();
        for (E constant : constants) {
            if (constant.name().equals(value.asText().toUpperCase(Locale.ROOT))) {
                return constant;
            }
        }
        return addFault(field, value, "one of " + Arrays.toString(constants), constants[0]);
    }

    Set<String> strings(String field) {
        JsonNode value = readField(field);
        Set<String> result = new HashSet<>();
        if (!value.isArray()) {
            return addStringsFault(field, value, result);
        }
        for (JsonNode element : value) {
            if (element.isTextual()) {
                result.add(element.textValue());
            } else {
                addStringsFault(field, element, result);
            }
        }
        return result;
    }

    Map<String, Integer> integerMap(String field) {
        Map<String, Integer> result = new HashMap<>();
        FieldReader reader = object(field);
        Iterator<String> names = reader.mNode.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            result.put(name, reader.integer(name));
        }
        return result;
    }

    FieldReader object(String field) {
        JsonNode value = readField(field);
        if (!value.isObject()) {
            addFault(field, value, "an object", "");
        }
        return new FieldReader(mObjectName, mPath + field + ".", value, mFaults);
    }

    /** Adds a fault for each field that has not been read. */
    void rejectUnknownFields() {
        mNode.fieldNames()
                .forEachRemaining(
                        field -> {
                            if (!mReadFields.contains(field)) {
                                List<String> known = mReadFields.stream().sorted().toList();
                                // The value may be a key in the wrong field, so it is omitted.
                                String allowed = "only the fields " + known;
                                mFaults.add(
                                        new Fault(
                                                mObjectName, mPath + field, "(present)", allowed));
                            }
                        });
    }

    <T> T addFault(String field, JsonNode value, String allowed, T fallback) {
        String found = value instanceof MissingNode ? "(missing)" : value.toString();
        mFaults.add(new Fault(mObjectName, mPath + field, found, allowed));
        return fallback;
    }

    /** The fault contains the type only, because the strings may be keys instead of digests. */
    private Set<String> addStringsFault(String field, JsonNode value, Set<String> fallback) {
        String found = "(" + value.getNodeType().name().toLowerCase(Locale.ROOT) + ")";
        mFaults.add(new Fault(mObjectName, mPath + field, found, "a list of strings"));
        return fallback;
    }

    private JsonNode readField(String field) {
        mReadFields.add(field);
        return mNode.path(field);
    }
}
