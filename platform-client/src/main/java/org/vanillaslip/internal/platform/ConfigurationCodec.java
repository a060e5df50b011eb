package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.ItemKind;
import org.vanillaslip.ItemName;
import org.vanillaslip.VersionedItem;
import org.vanillaslip.internal.configuration.Fault;

/** Converts configuration items to and from the objects that the platform stores. */
public final class ConfigurationCodec {

    private final ItemReader mReader = new ItemReader();
    private final ItemWriter mWriter = new ItemWriter();

    /** Decodes an object of the collection {@code configuration}, or returns all its faults. */
    public Either<List<Fault>, VersionedItem> decode(StoredObject object) {
        FieldReader spec = new FieldReader(object.name(), object.spec());
        Optional<ItemKind> kind = kindByPrefix(spec.string("kind"));
        String name = spec.string("name");
        boolean removed = spec.bool("removed");
        if (kind.isEmpty()) {
            JsonNode found = object.spec().path("kind");
            List<String> kinds =
                    Arrays.stream(ItemKind.values()).map(ItemKind::prefix).sorted().toList();
            spec.addFault("kind", found, "one of " + kinds, "");
            return Either.left(List.copyOf(spec.faults()));
        }
        ItemName itemName = new ItemName(kind.get(), name);
        if (!itemName.objectName().equals(object.name())) {
            String allowed = "the name part of the object name '" + object.name() + "'";
            spec.addFault("name", new TextNode(name), allowed, "");
        }
        Optional<ConfigurationItem> item = Optional.empty();
        if (!removed) {
            FieldReader fields = spec.object("item");
            item = Optional.of(mReader.read(kind.get(), name, fields));
        }
        return spec.faults().isEmpty()
                ? Either.right(new VersionedItem(itemName, object.version(), item))
                : Either.left(List.copyOf(spec.faults()));
    }

    /** Encodes an item as the spec of a stored object; an empty item is encoded as a removal. */
    public ObjectNode encode(ItemName name, Optional<ConfigurationItem> item) {
        ObjectNode spec = JsonNodeFactory.instance.objectNode();
        spec.put("kind", name.kind().prefix());
        spec.put("name", name.name());
        spec.put("removed", item.isEmpty());
        item.ifPresent(present -> mWriter.write(present, spec.putObject("item")));
        return spec;
    }

    private static Optional<ItemKind> kindByPrefix(String prefix) {
        return Arrays.stream(ItemKind.values())
                .filter(kind -> kind.prefix().equals(prefix))
                .findFirst();
    }
}
