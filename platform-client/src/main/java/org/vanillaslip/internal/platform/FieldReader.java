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
 * Reads the fields of one JSON object and gathers a fault for each that is missing, of the wrong
 * type or unknown. A faulty field reads as an empty value, which the caller drops with the item.
 */
final class FieldReader {

    private final String mItem;
    private final String mPath;
    private final JsonNode mNode;
    private final List<Fault> mFaults;
    private final Set<String> mRead = new HashSet<>();

    FieldReader(String item, JsonNode node) {
        this(item, "", node, new ArrayList<>());
    }

    private FieldReader(String item, String path, JsonNode node, List<Fault> faults) {
        mItem = item;
        mPath = path;
        mNode = node;
        mFaults = faults;
    }

    List<Fault> faults() {
        return mFaults;
    }

    String text(String field) {
        JsonNode value = value(field);
        boolean accepted = value.isTextual() && !value.textValue().isBlank();
        return accepted ? value.textValue() : fault(field, value, "a text that is not empty", "");
    }

    long number(String field) {
        JsonNode value = value(field);
        boolean accepted = value.isIntegralNumber() && value.canConvertToLong();
        return accepted ? value.longValue() : fault(field, value, "a whole number of 64 bits", 0L);
    }

    int smallNumber(String field) {
        JsonNode value = value(field);
        boolean accepted = value.isIntegralNumber() && value.canConvertToInt();
        return accepted ? value.intValue() : fault(field, value, "a whole number of 32 bits", 0);
    }

    boolean flag(String field) {
        JsonNode value = value(field);
        return value.isBoolean() ? value.booleanValue() : fault(field, value, "true, false", false);
    }

    Duration millis(String field) {
        return Duration.ofMillis(number(field));
    }

    <E extends Enum<E>> E oneOf(String field, Class<E> type) {
        JsonNode value = value(field);
        E[] constants = type.getEnumConstants();
        for (E constant : constants) {
            if (constant.name().equals(value.asText().toUpperCase(Locale.ROOT))) {
                return constant;
            }
        }
        return fault(field, value, "one of " + Arrays.toString(constants), constants[0]);
    }

    Set<String> texts(String field) {
        JsonNode value = value(field);
        Set<String> result = new HashSet<>();
        if (!value.isArray()) {
            return textsFault(field, value, result);
        }
        for (JsonNode element : value) {
            if (element.isTextual()) {
                result.add(element.textValue());
            } else {
                textsFault(field, element, result);
            }
        }
        return result;
    }

    Map<String, Integer> smallNumbers(String field) {
        Map<String, Integer> result = new HashMap<>();
        FieldReader reader = object(field);
        Iterator<String> names = reader.mNode.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            result.put(name, reader.smallNumber(name));
        }
        return result;
    }

    FieldReader object(String field) {
        JsonNode value = value(field);
        if (!value.isObject()) {
            fault(field, value, "an object", "");
        }
        return new FieldReader(mItem, mPath + field + ".", value, mFaults);
    }

    /** Adds a fault for each field that nothing has read. */
    void refuseUnknownFields() {
        mNode.fieldNames()
                .forEachRemaining(
                        field -> {
                            if (!mRead.contains(field)) {
                                List<String> known = mRead.stream().sorted().toList();
                                // The value is left out: it may be a key in the wrong place.
                                String allowed = "only the fields " + known;
                                mFaults.add(new Fault(mItem, mPath + field, "(present)", allowed));
                            }
                        });
    }

    <T> T fault(String field, JsonNode value, String allowed, T instead) {
        String found = value instanceof MissingNode ? "(missing)" : value.toString();
        mFaults.add(new Fault(mItem, mPath + field, found, allowed));
        return instead;
    }

    /** Names the type only, since the texts may be keys entered in place of their digests. */
    private Set<String> textsFault(String field, JsonNode value, Set<String> instead) {
        String found = "(" + value.getNodeType().name().toLowerCase(Locale.ROOT) + ")";
        mFaults.add(new Fault(mItem, mPath + field, found, "a list of texts"));
        return instead;
    }

    private JsonNode value(String field) {
        mRead.add(field);
        return mNode.path(field);
    }
}
