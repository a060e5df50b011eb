package org.vanillaslip.internal.control.placement;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.Optional;
import org.vanillaslip.internal.placement.ShardRecord;

/** Reads and writes shard records of the object store and digests as JSON. */
final class PlacementJsonCodec {

    private final ObjectMapper mMapper =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    ObjectNode write(ShardRecord record) {
        return mMapper.valueToTree(record);
    }

    Optional<ShardRecord> readRecord(ObjectNode spec) {
        try {
            return Optional.of(mMapper.treeToValue(spec, ShardRecord.class));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    ByteString write(DigestBody digest) {
        try {
            return ByteString.copyFrom(mMapper.writeValueAsBytes(digest));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("Cannot write a placement digest", e);
        }
    }

    Optional<DigestBody> readDigest(ByteString bytes) {
        try {
            return Optional.of(mMapper.readValue(bytes.newInput(), DigestBody.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
