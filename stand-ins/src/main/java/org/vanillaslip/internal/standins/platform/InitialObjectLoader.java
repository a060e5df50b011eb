package org.vanillaslip.internal.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillaslip.internal.platform.ObjectJsonCodec;
import org.vanillaslip.internal.platform.StoredObject;

/** Fills a storage from {@code {collection: [{metadata: {name}, spec}, ...], ...}}. */
final class InitialObjectLoader {

    private final ObjectJsonCodec mJson;

    InitialObjectLoader(ObjectJsonCodec json) {
        mJson = json;
    }

    void load(byte[] file, ObjectStorage storage) {
        ObjectNode collections = mJson.parse(file);
        collections
                .properties()
                .forEach(
                        entry -> {
                            for (JsonNode node : entry.getValue()) {
                                StoredObject object = mJson.decodeObject(entry.getKey(), node);
                                storage.create(object.collection(), object.name(), object.spec());
                            }
                        });
    }
}
