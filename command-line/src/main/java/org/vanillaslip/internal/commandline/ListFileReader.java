package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.ItemKind;
import org.vanillaslip.ItemName;
import org.vanillaslip.internal.configuration.Fault;

/** Parses a list file and collects all faults in its structure. */
final class ListFileReader {
    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private final List<Fault> mFaults = new ArrayList<>();
    private final Set<ItemKind> mSections = new LinkedHashSet<>();
    private final Set<ItemName> mNames = new HashSet<>();
    private final List<ListFileEntry> mEntries = new ArrayList<>();

    private ListFileReader() {}

    static Either<List<Fault>, ListFile> read(String text) {
        return new ListFileReader().readAll(text);
    }

    private Either<List<Fault>, ListFile> readAll(String text) {
        try {
            JsonNode root = MAPPER.readTree(text);
            if (root instanceof ObjectNode lists) {
                lists.properties().forEach(list -> readList(list.getKey(), list.getValue()));
            } else {
                addFault("file", "content", root, "a JSON object with lists");
            }
        } catch (JsonProcessingException exception) {
            int line = exception.getLocation() == null ? 0 : exception.getLocation().getLineNr();
            mFaults.add(new Fault("file", "line " + line, exception.getOriginalMessage(), "JSON"));
        }
        return mFaults.isEmpty()
                ? Either.right(new ListFile(Set.copyOf(mSections), List.copyOf(mEntries)))
                : Either.left(List.copyOf(mFaults));
    }

    private void readList(String section, JsonNode list) {
        Optional<ItemKind> kind = ListFileSections.kindOf(section);
        if (kind.isEmpty()) {
            addFault("file", section, list.getNodeType(), "one of " + ListFileSections.names());
        } else if (!list.isArray()) {
            addFault("file", section, list.getNodeType(), "a list of objects");
        } else {
            mSections.add(kind.get());
            for (int index = 0; index < list.size(); index++) {
                readEntry(kind.get(), section + "[" + index + "]", list.get(index));
            }
        }
    }

    private void readEntry(ItemKind kind, String location, JsonNode node) {
        String name = node.path("name").asText();
        if (!node.path("name").isTextual() || name.isBlank()) {
            addFault(location, "name", node.path("name"), "a string that is not blank");
            return;
        }
        ItemName itemName = new ItemName(kind, name);
        if (!mNames.add(itemName)) {
            addFault(location, "name", name, "a name that occurs only once");
            return;
        }
        ObjectNode fields = ((ObjectNode) node).deepCopy();
        fields.remove("name");
        fields.properties()
                .forEach(field -> checkFieldName(itemName, field.getKey(), field.getValue()));
        mEntries.add(new ListFileEntry(itemName, FieldNames.toCamelCase(fields)));
    }

    private void checkFieldName(ItemName name, String field, JsonNode value) {
        String expected = FieldNames.toSnakeCase(field);
        if (!expected.equals(field)) {
            addFault(name.objectName(), expected, value, "a field name in snake_case");
        }
    }

    private void addFault(String item, String field, Object value, String allowed) {
        mFaults.add(new Fault(item, field, String.valueOf(value), allowed));
    }
}
