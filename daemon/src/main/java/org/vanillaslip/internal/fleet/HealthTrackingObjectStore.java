package org.vanillaslip.internal.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.function.Supplier;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.PlatformException;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.PollTime;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Object store that forwards calls to the platform's store and tracks whether it answers. During an
 * outage lists and watches wait until the store answers again.
 */
public final class HealthTrackingObjectStore implements ObjectStore {

    private final ObjectStore mStore;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final StoreAnswerHistory mAnswers;
    private final StoreGate mGate;
    private boolean mUnavailable;

    /**
     * Creates a store that forwards calls to the given one.
     *
     * @param answers records when the store answers
     */
    public HealthTrackingObjectStore(
            ObjectStore store, StoreAnswerHistory answers, DecisionLoop loop, EventLog log) {
        mStore = store;
        mAnswers = answers;
        mLoop = loop;
        mLog = log;
        mGate =
                new StoreGate(
                        Mono.defer(
                                () ->
                                        readRecent(
                                                PlatformCollections.CONTROL_SHARDS,
                                                FleetLease.NAME)),
                        loop);
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
        return trackResult(mStore.read(collection, name));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> readRecent(String collection, String name) {
        // The answer may be seconds old, so it does not show that servers can renew their entries.
        return mStore.readRecent(collection, name)
                .doOnNext(
                        result ->
                                result.peek(value -> recordReachable())
                                        .peekLeft(this::recordRecentReadFailure));
    }

    @Override
    public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
        return mGate.awaitOpen().then(Mono.defer(() -> trackResult(mStore.list(collection))));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> create(
            String collection, String name, ObjectNode spec) {
        return trackResult(mStore.create(collection, name, spec));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> update(
            String collection, String name, long expectedVersion, ObjectNode spec) {
        return trackResult(mStore.update(collection, name, expectedVersion, spec));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> delete(
            String collection, String name, long expectedVersion) {
        return trackResult(mStore.delete(collection, name, expectedVersion));
    }

    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        return trackWatch(() -> mStore.watch(collection, fromVersion));
    }

    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion, PollTime pollTime) {
        return trackWatch(() -> mStore.watch(collection, fromVersion, pollTime));
    }

    private Flux<WatchEvent> trackWatch(Supplier<Flux<WatchEvent>> watch) {
        return mGate.awaitOpen()
                .thenMany(Flux.defer(watch))
                .doOnNext(event -> recordAnswer())
                .doOnError(
                        error -> {
                            if (error instanceof PlatformException failure) {
                                recordFailure(failure.failure());
                            }
                        });
    }

    private <T> Mono<Either<PlatformFailure, T>> trackResult(
            Mono<Either<PlatformFailure, T>> call) {
        return call.doOnNext(
                result -> result.peek(value -> recordAnswer()).peekLeft(this::recordFailure));
    }

    private void recordFailure(PlatformFailure failure) {
        if (isAnswer(failure)) {
            recordAnswer();
        } else {
            recordUnreachable();
        }
    }

    private void recordRecentReadFailure(PlatformFailure failure) {
        if (isAnswer(failure)) {
            recordReachable();
        } else {
            recordUnreachable();
        }
    }

    private static boolean isAnswer(PlatformFailure failure) {
        return switch (failure) {
            case NOT_FOUND, CONFLICT, GONE, UNREADABLE, BEHIND -> true;
            case THROTTLED, UNAVAILABLE, OUTCOME_UNKNOWN, SILENT -> false;
        };
    }

    private void recordUnreachable() {
        if (!mUnavailable) {
            mUnavailable = true;
            mGate.close();
            mLog.log(FleetEvent.STORE_LOST);
        }
    }

    private void recordAnswer() {
        long now = mLoop.clock().nowNanos();
        mAnswers.recordAnswer(now, now);
        recordReachable();
    }

    private void recordReachable() {
        if (mUnavailable) {
            mUnavailable = false;
            mGate.open();
            mLog.log(FleetEvent.STORE_REGAINED);
        }
    }
}
