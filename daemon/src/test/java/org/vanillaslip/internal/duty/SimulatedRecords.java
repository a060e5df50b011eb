package org.vanillaslip.internal.duty;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.usage.UsageLedger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** The platform's store in virtual time; remembers each report that was ever recorded. */
final class SimulatedRecords {

    private final Map<Long, Set<Map<String, Long>>> mEverRecorded = new HashMap<>();
    private final Map<String, StoredObject> mObjects = new HashMap<>();
    private final Map<String, StoredObject> mCopy = new HashMap<>();
    private long mCopiedRevision;
    private long mRevision = 1;
    private long mEra = 1;

    /** The store as seen by one host. */
    final class Access implements ObjectStore {
        private final Supplier<Scheduler> mScheduler;
        boolean mUnavailable;
        boolean mAnswersLost;

        Access(Supplier<Scheduler> scheduler) {
            mScheduler = scheduler;
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
            return respond(() -> find(collection, name), false);
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> create(
                String collection, String name, ObjectNode spec) {
            return respond(
                    () ->
                            find(collection, name).isRight()
                                    ? Either.left(PlatformFailure.CONFLICT)
                                    : put(collection, name, spec),
                    true);
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> update(
                String collection, String name, long expectedVersion, ObjectNode spec) {
            return respond(
                    () ->
                            find(collection, name).map(StoredObject::version).getOrElse(0L)
                                            == expectedVersion
                                    ? put(collection, name, spec)
                                    : Either.left(PlatformFailure.CONFLICT),
                    true);
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> delete(
                String collection, String name, long expectedVersion) {
            return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
        }

        @Override
        public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
            return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
        }

        @Override
        public Flux<WatchEvent> watch(String collection, long fromVersion) {
            return Flux.never();
        }

        private <T> Mono<Either<PlatformFailure, T>> respond(
                Supplier<Either<PlatformFailure, T>> call, boolean write) {
            return Mono.delay(Duration.ofMillis(4), mScheduler.get())
                    .map(
                            tick -> {
                                if (mUnavailable) {
                                    return Either.left(PlatformFailure.UNAVAILABLE);
                                }
                                Either<PlatformFailure, T> result = call.get();
                                return write && mAnswersLost
                                        ? Either.left(PlatformFailure.OUTCOME_UNKNOWN)
                                        : result;
                            });
        }
    }

    /** Copies the store as it is now. */
    void copy() {
        mCopy.clear();
        mCopy.putAll(mObjects);
        mCopiedRevision = mRevision;
    }

    /** Replaces the store by its copy, whose revisions are given out again in a new era. */
    void restore() {
        mObjects.clear();
        mObjects.putAll(mCopy);
        mRevision = mCopiedRevision;
        mEra++;
    }

    /** Returns the recorded reports. */
    UsageLedger ledger() {
        return UsageRecord.decode(find(PlatformCollections.USAGE_REPORTS, "fleet").get().spec());
    }

    /** Returns whether the report was recorded at some time. */
    boolean wasRecorded(long window, Map<String, Long> counts) {
        return mEverRecorded.getOrDefault(window, Set.of()).contains(counts);
    }

    private Either<PlatformFailure, StoredObject> find(String collection, String name) {
        StoredObject object = mObjects.get(collection + "/" + name);
        return object == null
                ? Either.left(PlatformFailure.NOT_FOUND)
                : Either.right(object.inEra(mEra));
    }

    private Either<PlatformFailure, StoredObject> put(
            String collection, String name, ObjectNode spec) {
        StoredObject object = new StoredObject(collection, name, ++mRevision, spec.deepCopy());
        mObjects.put(collection + "/" + name, object);
        if (collection.equals(PlatformCollections.USAGE_REPORTS)) {
            UsageRecord.decode(spec)
                    .windows()
                    .forEach(
                            window ->
                                    mEverRecorded
                                            .computeIfAbsent(
                                                    window.window(), added -> new HashSet<>())
                                            .add(window.callsByWorkspace()));
        }
        return Either.right(object.inEra(mEra));
    }
}
