package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Converts objects, lists and watch events of the object API to and from JSON. */
public final class ObjectJsonCodec {

    private static final String METADATA = "metadata";
    private static final String VERSION = "resourceVersion";

    private final ObjectMapper mMapper;

    /** Creates a codec that uses the given mapper. */
    public ObjectJsonCodec(ObjectMapper mapper) {
        mMapper = mapper;
    }

    /** Returns {@code {metadata: {name, resourceVersion}, spec}}; omits the version if it is 0. */
    public ObjectNode encode(StoredObject object) {
        ObjectNode node = envelope(object.version());
        ((ObjectNode) node.get(METADATA)).put("name", object.name());
        node.set("spec", object.spec());
        return node;
    }

    /** Returns {@code {metadata: {resourceVersion}, items}}. */
    public ObjectNode encode(ObjectList list) {
        ObjectNode node = envelope(list.version());
        ArrayNode items = node.putArray("items");
        list.objects().forEach(object -> items.add(encode(object)));
        return node;
    }

    /** Returns {@code {type, object}}. */
    public ObjectNode encode(WatchEvent event) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("type", event.type().name());
        node.set("object", encode(event.object()));
        return node;
    }

    /** Serializes the node as one line of JSON. */
    public byte[] toBytes(JsonNode node) {
        try {
            return mMapper.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("Cannot write the value as JSON.", e);
        }
    }

    /** Parses bytes that contain a JSON object. */
    public ObjectNode parse(byte[] bytes) {
        try {
            if (mMapper.readTree(bytes) instanceof ObjectNode node) {
                return node;
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("The platform sent malformed JSON.", e);
        }
        throw new IllegalArgumentException("The platform sent JSON other than an object.");
    }

    /** Decodes an object of the given collection. */
    public StoredObject decodeObject(String collection, JsonNode node) {
        JsonNode spec = node.path("spec");
        return new StoredObject(
                collection,
                node.path(METADATA).path("name").asText(),
                resourceVersion(node),
                spec instanceof ObjectNode object ? object : JsonNodeFactory.instance.objectNode());
    }

    /** Decodes a list of the given collection. */
    public ObjectList decodeList(String collection, JsonNode node) {
        if (!node.path("items").isArray()) {
            throw new IllegalArgumentException(
                    "The platform sent a list without the array 'items'.");
        }
        List<StoredObject> objects = new ArrayList<>();
        node.path("items").forEach(item -> objects.add(decodeObject(collection, item)));
        return new ObjectList(resourceVersion(node), objects);
    }

    /** Decodes a watch event; throws {@link PlatformException} for an event of type ERROR. */
    public WatchEvent decodeEvent(String collection, JsonNode node) {
        String type = node.path("type").asText();
        if (type.equals("ERROR")) {
            int code = node.path("object").path("code").asInt();
            throw new PlatformException(
                    code == 410 ? PlatformFailure.GONE : PlatformFailure.UNAVAILABLE,
                    "The platform ended the watch of '" + collection + "' with code " + code + ".");
        }
        return new WatchEvent(
                WatchEventType.valueOf(type), decodeObject(collection, node.path("object")));
    }

    /** Returns the resource version in the metadata, or 0 if there is none. */
    public static long resourceVersion(JsonNode node) {
        return node.path(METADATA).path(VERSION).asLong();
    }

    private static ObjectNode envelope(long version) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        ObjectNode metadata = node.putObject(METADATA);
        if (version > 0) {
            metadata.put(VERSION, Long.toString(version));
        }
        return node;
    }
}
