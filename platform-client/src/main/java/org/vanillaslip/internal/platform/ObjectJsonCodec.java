package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/** Converts objects, lists and watch events of the object API to and from JSON. */
public final class ObjectJsonCodec {

    private static final String METADATA = "metadata";
    private static final String VERSION = "resourceVersion";

    private final ObjectMapper mMapper;
    private final StoredObjectReader mReader;

    /** Creates a codec that uses the given mapper. */
    public ObjectJsonCodec(ObjectMapper mapper) {
        mMapper = mapper;
        mReader = new StoredObjectReader(mapper, VERSION);
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

    /** Decodes the text of an object of the given collection. */
    public StoredObject decodeObject(String collection, byte[] text) {
        return mReader.read(collection, JsonSlice.of(text));
    }

    /** Decodes the text of a list; an object that cannot be read costs that object alone. */
    public ObjectList decodeList(String collection, byte[] text) {
        Map<String, JsonSlice> fields = JsonSlice.of(text).fields();
        JsonSlice items = fields.get("items");
        JsonSlice metadata = fields.get(METADATA);
        if (items == null || metadata == null) {
            throw new IllegalArgumentException(
                    "The platform sent a list without the fields 'items' and 'metadata'.");
        }
        List<StoredObject> objects =
                items.elements().stream().map(item -> mReader.read(collection, item)).toList();
        Map<String, JsonSlice> listMetadata = metadata.fields();
        return new ObjectList(
                // The version of a store without any change is omitted.
                listMetadata.containsKey(VERSION)
                        ? mReader.requiredVersion(listMetadata, VERSION)
                        : 0,
                objects);
    }

    /** Decodes the text of a watch event; throws {@link PlatformException} for an ERROR. */
    public WatchEvent decodeEvent(String collection, byte[] text) {
        Map<String, JsonSlice> fields = JsonSlice.of(text).fields();
        JsonSlice type = fields.get("type");
        JsonSlice object = fields.get("object");
        if (type == null || object == null) {
            throw new IllegalArgumentException(
                    "The platform sent an event without the fields 'type' and 'object'.");
        }
        String typeName = mReader.parse(type).asText();
        if (typeName.equals("ERROR")) {
            int code = mReader.parse(object).path("code").asInt();
            throw new PlatformException(
                    code == 410 ? PlatformFailure.GONE : PlatformFailure.UNAVAILABLE,
                    "The platform ended the watch of '" + collection + "' with code " + code + ".");
        }
        return new WatchEvent(WatchEventType.valueOf(typeName), mReader.read(collection, object));
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
