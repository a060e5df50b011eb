package org.vanillaslip.internal.changes;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.vanillaslip.internal.platform.JsonLimits;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import org.vanillaslip.messages.ConfigurationObject;
import org.vanillaslip.messages.ObjectChange;

/** Converts changes to and from messages between hosts. */
final class ChangeCodec {

    /** Compressing smaller objects costs more time than it saves. */
    private static final int MIN_COMPRESSED_BYTES = 2048;

    /** Above the platform's limit of one megabyte per value. */
    private static final int MAX_OBJECT_BYTES = 4 * 1024 * 1024;

    private final ObjectMapper mMapper = JsonLimits.storedValues();

    ObjectChange encode(WatchEvent event) {
        StoredObject object = event.object();
        boolean deleted = event.type() == WatchEventType.DELETED;
        ConfigurationObject.Builder content =
                ConfigurationObject.newBuilder()
                        .setName(object.name())
                        .setVersion(object.version());
        boolean compressed = false;
        try {
            byte[] json = mMapper.writeValueAsBytes(object.spec());
            compressed = json.length >= MIN_COMPRESSED_BYTES;
            content.setSpecJson(ByteString.copyFrom(compressed ? compress(json) : json));
        } catch (IOException e) {
            throw new UncheckedIOException("The changed object cannot be written as JSON.", e);
        }
        return ObjectChange.newBuilder()
                .setDeleted(deleted)
                .setObject(content)
                .setCompressed(compressed)
                .build();
    }

    /** Returns the change; content that cannot be decoded is named in the fault of its object. */
    WatchEvent decode(String collection, ObjectChange change) {
        ObjectNode spec = JsonNodeFactory.instance.objectNode();
        Optional<String> fault = Optional.empty();
        try {
            spec = decodeSpec(change);
        } catch (IOException malformed) {
            fault = Optional.of(malformed.toString());
        }
        return new WatchEvent(
                change.getDeleted() ? WatchEventType.DELETED : WatchEventType.MODIFIED,
                new StoredObject(
                        collection,
                        change.getObject().getName(),
                        change.getObject().getVersion(),
                        spec,
                        fault));
    }

    private ObjectNode decodeSpec(ObjectChange change) throws IOException {
        byte[] bytes = change.getObject().getSpecJson().toByteArray();
        byte[] json = change.getCompressed() ? decompress(bytes) : bytes;
        if (mMapper.readTree(json) instanceof ObjectNode spec) {
            return spec;
        }
        throw new IOException("The spec is no JSON object.");
    }

    private static byte[] compress(byte[] bytes) throws IOException {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream(bytes.length / 4);
        try (OutputStream stream = new DeflaterOutputStream(compressed)) {
            stream.write(bytes);
        }
        return compressed.toByteArray();
    }

    private static byte[] decompress(byte[] bytes) throws IOException {
        try (InputStream stream = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
            byte[] content = stream.readNBytes(MAX_OBJECT_BYTES + 1);
            if (content.length > MAX_OBJECT_BYTES) {
                throw new IOException(
                        "The decompressed object exceeds " + MAX_OBJECT_BYTES + " bytes.");
            }
            return content;
        }
    }
}
