package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.regex.Pattern;

/** Converts field names between list files (snake_case) and stored items (camelCase). */
final class FieldNames {
    /** Fields whose value is a map; its keys are chosen by operators and are not converted. */
    private static final Set<String> MAP_FIELDS = Set.of("replicas");

    private static final Pattern UPPER = Pattern.compile("[A-Z]");
    private static final Pattern UNDERSCORE = Pattern.compile("_([a-z])");

    private FieldNames() {}

    static String toSnakeCase(String name) {
        return UPPER.matcher(name)
                .replaceAll(match -> "_" + match.group().toLowerCase(Locale.ROOT));
    }

    static String toCamelCase(String name) {
        return UNDERSCORE
                .matcher(name)
                .replaceAll(match -> match.group(1).toUpperCase(Locale.ROOT));
    }

    static ObjectNode toSnakeCase(ObjectNode node) {
        return renameFields(node, FieldNames::toSnakeCase);
    }

    static ObjectNode toCamelCase(ObjectNode node) {
        return renameFields(node, FieldNames::toCamelCase);
    }

    private static ObjectNode renameFields(ObjectNode node, UnaryOperator<String> rename) {
        ObjectNode result = JsonNodeFactory.instance.objectNode();
        node.properties()
                .forEach(
                        entry -> {
                            JsonNode value = entry.getValue();
                            boolean nested =
                                    value.isObject() && !MAP_FIELDS.contains(entry.getKey());
                            result.set(
                                    rename.apply(entry.getKey()),
                                    nested ? renameFields((ObjectNode) value, rename) : value);
                        });
        return result;
    }
}
