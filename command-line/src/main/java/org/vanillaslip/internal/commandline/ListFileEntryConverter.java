package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.ItemKind;
import org.vanillaslip.ItemName;
import org.vanillaslip.VersionedItem;
import org.vanillaslip.internal.configuration.Fault;
import org.vanillaslip.internal.platform.ConfigurationCodec;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.StoredObject;

/** Converts between the entries of list files and configuration items. */
final class ListFileEntryConverter {
    private static final List<String> ENUM_FIELDS = List.of("kind", "request_class");

    private final ConfigurationCodec mCodec;

    ListFileEntryConverter(ConfigurationCodec codec) {
        mCodec = codec;
    }

    /**
     * Returns the item that the entry describes. If the entry omits the key digests or the drain
     * state, the stored values are kept, so that applying a list neither restores a withdrawn key
     * nor returns a drained item to service.
     */
    Either<List<Fault>, ConfigurationItem> toItem(
            ListFileEntry entry, Optional<ConfigurationItem> current) {
        ObjectNode spec = mCodec.encode(entry.name(), Optional.empty());
        spec.put("removed", false);
        ObjectNode fields = entry.fields().deepCopy();
        fillInStoredFields(entry.name(), fields, current);
        spec.set("item", fields);
        return mCodec.decode(
                        new StoredObject(
                                PlatformCollections.CONFIGURATION,
                                entry.name().objectName(),
                                0,
                                spec))
                .map(VersionedItem::item)
                .map(Optional::orElseThrow);
    }

    /** Returns the entry of a list file that describes the item. */
    ObjectNode toEntry(ConfigurationItem item) {
        ObjectNode fields =
                (ObjectNode) mCodec.encode(ItemName.of(item), Optional.of(item)).get("item");
        ObjectNode entry = JsonNodeFactory.instance.objectNode().put("name", item.name());
        entry.setAll(FieldNames.toSnakeCase(fields));
        ENUM_FIELDS.stream()
                .filter(entry::has)
                .forEach(
                        field ->
                                entry.put(
                                        field, entry.get(field).asText().toLowerCase(Locale.ROOT)));
        return entry;
    }

    private void fillInStoredFields(
            ItemName name, ObjectNode fields, Optional<ConfigurationItem> current) {
        JsonNode stored = mCodec.encode(name, current).path("item");
        if (name.kind() == ItemKind.WORKSPACE && !fields.has("keyDigests")) {
            fields.set(
                    "keyDigests",
                    stored.path("keyDigests").isArray()
                            ? stored.get("keyDigests")
                            : JsonNodeFactory.instance.arrayNode());
        }
        boolean drainable =
                name.kind() == ItemKind.BACKEND_SERVER
                        || name.kind() == ItemKind.FAILURE_DOMAIN
                        || name.kind() == ItemKind.HOST;
        if (drainable && !fields.has("drained")) {
            fields.put("drained", stored.path("drained").asBoolean(false));
        }
    }
}
