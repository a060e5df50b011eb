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

/** Reads and writes shard objects; answers arrive on the decision loop. */
final class ShardStore {

    static final String COLLECTION = "controlshards";

    // Well inside the time between the renewal and the end of deciding.
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final ObjectStore mStore;
    private final DecisionLoop mLoop;
    private final PlacementJsonCodec mJson;

    ShardStore(ObjectStore store, DecisionLoop loop, PlacementJsonCodec json) {
        mStore = store;
        mLoop = loop;
        mJson = json;
    }

    Mono<Either<PlatformFailure, StoredObject>> read(String shard) {
        return answered(mStore.read(COLLECTION, shard));
    }

    Mono<Either<PlatformFailure, StoredObject>> write(
            String shard, long expectedVersion, ShardRecord record) {
        return answered(
                expectedVersion == 0
                        ? mStore.create(COLLECTION, shard, mJson.write(record))
                        : mStore.update(COLLECTION, shard, expectedVersion, mJson.write(record)));
    }

    Mono<Either<PlatformFailure, Map<String, ShardRecord>>> list() {
        return answered(
                mStore.list(COLLECTION).map(answer -> answer.map(l -> records(l.objects()))));
    }

    private Map<String, ShardRecord> records(Iterable<StoredObject> objects) {
        Map<String, ShardRecord> records = new HashMap<>();
        for (StoredObject object : objects) {
            mJson.read(object.spec()).ifPresent(record -> records.put(object.name(), record));
        }
        return records;
    }

    private <T> Mono<Either<PlatformFailure, T>> answered(Mono<Either<PlatformFailure, T>> call) {
        return call.timeout(TIMEOUT, mLoop.scheduler())
                .onErrorResume(error -> Mono.just(Either.left(PlatformFailure.OUTCOME_UNKNOWN)))
                .publishOn(mLoop.scheduler());
    }
}
