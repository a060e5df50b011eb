package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** The platform's object API. Calls are not retried; retries are up to the caller. */
public interface ObjectStore {

    /** Reads one object. */
    Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name);

    /**
     * Reads one object, which may be outdated by a few seconds if the platform has a cheaper read
     * for that.
     */
    default Mono<Either<PlatformFailure, StoredObject>> readRecent(String collection, String name) {
        return read(collection, name);
    }

    /** Lists all objects of a collection. */
    Mono<Either<PlatformFailure, ObjectList>> list(String collection);

    /** Creates an object; fails with {@link PlatformFailure#CONFLICT} if the name exists. */
    Mono<Either<PlatformFailure, StoredObject>> create(
            String collection, String name, ObjectNode spec);

    /** Replaces the spec of an object if the object has the expected version. */
    Mono<Either<PlatformFailure, StoredObject>> update(
            String collection, String name, long expectedVersion, ObjectNode spec);

    /** Deletes an object if it has the expected version. */
    Mono<Either<PlatformFailure, StoredObject>> delete(
            String collection, String name, long expectedVersion);

    /**
     * Emits changes after the given version. Fails with {@link PlatformException} if the connection
     * breaks, if no event arrives for too long, or if the version is too old.
     */
    Flux<WatchEvent> watch(String collection, long fromVersion);

    /**
     * Watches as {@link #watch(String, long)} does. A store whose watches are polls asks for the
     * time of each poll; others ignore it.
     */
    default Flux<WatchEvent> watch(String collection, long fromVersion, PollTime pollTime) {
        return watch(collection, fromVersion);
    }
}
