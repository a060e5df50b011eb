package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** The platform's object API. No call is repeated by itself; the caller decides. */
public interface ObjectStore {

    /** Reads one object. */
    Mono<Either<PlatformFailure, StoredObject>> read(String collection, String name);

    /** Reads one object as it was at most seconds ago, where the platform has a cheaper read. */
    default Mono<Either<PlatformFailure, StoredObject>> readRecent(String collection, String name) {
        return read(collection, name);
    }

    /** Lists a collection. */
    Mono<Either<PlatformFailure, ObjectList>> list(String collection);

    /** Creates an object; {@link PlatformFailure#CONFLICT} when the name exists. */
    Mono<Either<PlatformFailure, StoredObject>> create(
            String collection, String name, ObjectNode spec);

    /** Replaces an object if it has the expected version. */
    Mono<Either<PlatformFailure, StoredObject>> update(
            String collection, String name, long expectedVersion, ObjectNode spec);

    /** Deletes an object if it has the expected version. */
    Mono<Either<PlatformFailure, StoredObject>> delete(
            String collection, String name, long expectedVersion);

    /**
     * Emits changes after the given position. Ends with {@link PlatformException} when the
     * connection breaks, stays silent for too long, or the position is too old.
     */
    Flux<WatchEvent> watch(String collection, long fromVersion);
}
