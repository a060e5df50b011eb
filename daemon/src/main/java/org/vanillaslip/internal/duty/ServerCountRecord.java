package org.vanillaslip.internal.duty;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import reactor.core.publisher.Mono;

/**
 * The ordered numbers of servers in the platform's store, from which a new lease holder continues.
 * Writes are conditional on the version that was read or written last.
 */
final class ServerCountRecord {

    private static final String OBJECT_NAME = "fleet";
    private static final String COUNTS = "counts";
    private static final String POOL = "pool";
    private static final String FAILURE_DOMAIN = "failure_domain";
    private static final String SERVERS = "servers";
    private static final String TERM = "term";

    /** Version of an object that does not exist. */
    private static final long MISSING = -1;

    private final ObjectStore mStore;
    private long mVersion = MISSING;

    ServerCountRecord(ObjectStore store) {
        mStore = store;
    }

    /** Reads the record, which is empty if it was never written. */
    Mono<Either<PlatformFailure, Map<ScaledGroup, RecordedCount>>> read() {
        return mStore.read(PlatformCollections.SERVER_COUNTS, OBJECT_NAME).map(this::adopt);
    }

    private Either<PlatformFailure, Map<ScaledGroup, RecordedCount>> adopt(
            Either<PlatformFailure, StoredObject> found) {
        if (found.isRight()) {
            mVersion = found.get().version();
            return Either.right(decode(found.get().spec()));
        }
        if (found.getLeft() == PlatformFailure.NOT_FOUND) {
            mVersion = MISSING;
            return Either.right(Map.of());
        }
        return Either.left(found.getLeft());
    }

    /** Replaces the record, unless it has changed since it was read or written. */
    Mono<Either<PlatformFailure, StoredObject>> write(Map<ScaledGroup, RecordedCount> counts) {
        ObjectNode spec = encode(counts);
        Mono<Either<PlatformFailure, StoredObject>> written =
                mVersion == MISSING
                        ? mStore.create(PlatformCollections.SERVER_COUNTS, OBJECT_NAME, spec)
                        : mStore.update(
                                PlatformCollections.SERVER_COUNTS, OBJECT_NAME, mVersion, spec);
        return written.doOnNext(result -> result.peek(stored -> mVersion = stored.version()));
    }

    private static ObjectNode encode(Map<ScaledGroup, RecordedCount> counts) {
        ObjectNode spec = JsonNodeFactory.instance.objectNode();
        ArrayNode entries = spec.putArray(COUNTS);
        counts.forEach(
                (group, count) ->
                        entries.addObject()
                                .put(POOL, group.pool())
                                .put(FAILURE_DOMAIN, group.failureDomain())
                                .put(SERVERS, count.servers())
                                .put(TERM, count.term()));
        return spec;
    }

    private static Map<ScaledGroup, RecordedCount> decode(ObjectNode spec) {
        Map<ScaledGroup, RecordedCount> counts = new HashMap<>();
        for (JsonNode entry : spec.path(COUNTS)) {
            if (entry.path(SERVERS).canConvertToInt() && entry.path(SERVERS).asInt() >= 0) {
                counts.put(
                        new ScaledGroup(
                                entry.path(POOL).asText(), entry.path(FAILURE_DOMAIN).asText()),
                        new RecordedCount(entry.path(SERVERS).asInt(), entry.path(TERM).asLong()));
            }
        }
        return counts;
    }
}
