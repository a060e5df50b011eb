package org.vanillaslip.internal.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillaslip.internal.platform.ObjectJsonCodec;
import org.vanillaslip.internal.platform.StoredObject;

/**
 * Loads objects into a storage from JSON of the form {@code {collection: [{metadata: {name}, spec},
 * ...], ...}}.
 */
final class InitialObjectLoader {

    private final ObjectJsonCodec mCodec;

    InitialObjectLoader(ObjectJsonCodec codec) {
        mCodec = codec;
    }

    void load(byte[] content, ObjectStorage storage) {
        ObjectNode collections = mCodec.parse(content);
        collections
                .properties()
                .forEach(
                        entry -> {
                            for (JsonNode node : entry.getValue()) {
                                StoredObject object = mCodec.decodeObject(entry.getKey(), node);
                                storage.create(object.collection(), object.name(), object.spec());
                            }
                        });
    }
}
