package org.vanillaslip.internal.duty;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** A store in virtual time that several hosts share and that can be restored from a copy. */
final class ScalingStore {

    private static final Duration RESPONSE_DELAY = Duration.ofMillis(4);

    private final Map<String, StoredObject> mObjects = new HashMap<>();
    private final Map<String, StoredObject> mCopy = new HashMap<>();
    private final List<ObjectNode> mCountWrites = new ArrayList<>();
    private long mCopiedRevision;
    private long mRevision;
    private long mEra = 1;
    private int mCountCalls;

    /** Returns what was written to the record of server numbers. */
    List<ObjectNode> countWrites() {
        return mCountWrites;
    }

    /** Returns the number of calls that concern server numbers. */
    int countCalls() {
        return mCountCalls;
    }

    void copy() {
        mCopy.clear();
        mCopy.putAll(mObjects);
        mCopiedRevision = mRevision;
    }

    void restore() {
        mObjects.clear();
        mObjects.putAll(mCopy);
        mRevision = mCopiedRevision;
        mEra++;
    }

    /** The store as seen by one host. */
    final class Access implements ObjectStore {

        private final Scheduler mScheduler;
        private boolean mCutOff;
        private boolean mLosesWriteAnswers;
        private boolean mRefusesCountWrites;

        Access(Scheduler scheduler) {
            mScheduler = scheduler;
        }

        void setCutOff(boolean cutOff) {
            mCutOff = cutOff;
        }

        /** Writes of server numbers fail, and those of the lease succeed. */
        void setRefusesCountWrites(boolean refuses) {
            mRefusesCountWrites = refuses;
        }

        /** Answers to writes of server numbers are lost after the change took effect. */
        void setLosesWriteAnswers(boolean loses) {
            mLosesWriteAnswers = loses;
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
            return respond(collection, false, () -> find(collection, name));
        }

        @Override
        public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
            return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> create(
                String collection, String name, ObjectNode spec) {
            return respond(
                    collection,
                    true,
                    () ->
                            find(collection, name).isRight()
                                    ? Either.left(PlatformFailure.CONFLICT)
                                    : put(collection, name, spec));
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> update(
                String collection, String name, long expectedVersion, ObjectNode spec) {
            return respond(
                    collection,
                    true,
                    () ->
                            find(collection, name).map(StoredObject::version).getOrElse(-1L)
                                            == expectedVersion
                                    ? put(collection, name, spec)
                                    : Either.left(PlatformFailure.CONFLICT));
        }

        @Override
        public Mono<Either<PlatformFailure, StoredObject>> delete(
                String collection, String name, long expectedVersion) {
            return Mono.just(Either.left(PlatformFailure.UNAVAILABLE));
        }

        @Override
        public Flux<WatchEvent> watch(String collection, long fromVersion) {
            return Flux.never();
        }

        private Mono<Either<PlatformFailure, StoredObject>> respond(
                String collection,
                boolean write,
                Supplier<Either<PlatformFailure, StoredObject>> call) {
            boolean counts = collection.equals(PlatformCollections.SERVER_COUNTS);
            mCountCalls += counts ? 1 : 0;
            return Mono.delay(RESPONSE_DELAY, mScheduler)
                    .map(
                            tick -> {
                                if (mCutOff || counts && write && mRefusesCountWrites) {
                                    return Either.left(PlatformFailure.UNAVAILABLE);
                                }
                                Either<PlatformFailure, StoredObject> result = call.get();
                                return counts && write && mLosesWriteAnswers
                                        ? Either.left(PlatformFailure.OUTCOME_UNKNOWN)
                                        : result;
                            });
        }
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
        if (collection.equals(PlatformCollections.SERVER_COUNTS)) {
            mCountWrites.add(object.spec());
        }
        return Either.right(object.inEra(mEra));
    }
}
