package org.vanillaslip.internal.control.placement;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.vanillaslip.internal.placement.ShardRecord;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Mono;

/** Reads and writes shard objects; results are delivered on the decision loop. */
final class ShardStore {

    static final String COLLECTION = "controlshards";

    // Well below the time between the renewal of a lease and the time at which its holder stops
    // deciding.
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final ObjectStore mStore;
    private final DecisionLoop mLoop;
    private final PlacementJsonCodec mCodec;

    ShardStore(ObjectStore store, DecisionLoop loop, PlacementJsonCodec codec) {
        mStore = store;
        mLoop = loop;
        mCodec = codec;
    }

    Mono<Either<PlatformFailure, StoredObject>> read(String shard) {
        return onLoopWithTimeout(mStore.read(COLLECTION, shard));
    }

    Mono<Either<PlatformFailure, StoredObject>> write(
            String shard, long expectedVersion, ShardRecord record) {
        return onLoopWithTimeout(
                expectedVersion == 0
                        ? mStore.create(COLLECTION, shard, mCodec.write(record))
                        : mStore.update(COLLECTION, shard, expectedVersion, mCodec.write(record)));
    }

    Mono<Either<PlatformFailure, Map<String, ShardRecord>>> list() {
        return onLoopWithTimeout(
                mStore.list(COLLECTION)
                        .map(
                                result ->
                                        result.map(
                                                objectList ->
                                                        decodeRecords(objectList.objects()))));
    }

    private Map<String, ShardRecord> decodeRecords(Iterable<StoredObject> objects) {
        Map<String, ShardRecord> records = new HashMap<>();
        for (StoredObject object : objects) {
            mCodec.readRecord(object.spec())
                    .ifPresent(record -> records.put(object.name(), record));
        }
        return records;
    }

    private <T> Mono<Either<PlatformFailure, T>> onLoopWithTimeout(
            Mono<Either<PlatformFailure, T>> call) {
        return call.timeout(TIMEOUT, mLoop.scheduler())
                .onErrorResume(error -> Mono.just(Either.left(PlatformFailure.OUTCOME_UNKNOWN)))
                .publishOn(mLoop.scheduler());
    }
}
