package org.vanillaslip.internal.metrics;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.Optional;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformException;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.PollTime;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Counts platform calls by kind and result. A watch is counted when it ends, because only then is
 * its result known.
 */
public final class MeteredObjectStore implements ObjectStore {

    private final ObjectStore mStore;
    private final DaemonMetrics mMetrics;

    /** Creates a store that counts the calls to the given store. */
    public MeteredObjectStore(ObjectStore store, DaemonMetrics metrics) {
        mStore = store;
        mMetrics = metrics;
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name) {
        return countResult("read", mStore.read(collection, name));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> readRecent(String collection, String name) {
        return countResult("read_recent", mStore.readRecent(collection, name));
    }

    @Override
    public Mono<Either<PlatformFailure, ObjectList>> list(String collection) {
        return countResult("list", mStore.list(collection));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> create(
            String collection, String name, ObjectNode spec) {
        return countResult("create", mStore.create(collection, name, spec));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> update(
            String collection, String name, long expectedVersion, ObjectNode spec) {
        return countResult("update", mStore.update(collection, name, expectedVersion, spec));
    }

    @Override
    public Mono<Either<PlatformFailure, StoredObject>> delete(
            String collection, String name, long expectedVersion) {
        return countResult("delete", mStore.delete(collection, name, expectedVersion));
    }

    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        return countWatch(mStore.watch(collection, fromVersion));
    }

    @Override
    public Flux<WatchEvent> watch(String collection, long fromVersion, PollTime pollTime) {
        return countWatch(mStore.watch(collection, fromVersion, pollTime));
    }

    private Flux<WatchEvent> countWatch(Flux<WatchEvent> watch) {
        return watch.doOnError(cause -> count("watch", Optional.of(failure(cause))))
                .doOnComplete(() -> count("watch", Optional.empty()))
                .doOnCancel(() -> count("watch", Optional.empty()));
    }

    private <T> Mono<Either<PlatformFailure, T>> countResult(
            String kind, Mono<Either<PlatformFailure, T>> call) {
        return call.doOnNext(result -> count(kind, result.swap().toJavaOptional()))
                .doOnError(cause -> count(kind, Optional.of(failure(cause))));
    }

    private void count(String kind, Optional<PlatformFailure> failure) {
        mMetrics.platformCall(kind, failure);
    }

    private static PlatformFailure failure(Throwable cause) {
        return cause instanceof PlatformException platformException
                ? platformException.failure()
                : PlatformFailure.UNAVAILABLE;
    }
}
