package org.vanillaslip.internal.standins.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.PlatformException;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** Thread-safe in-memory object storage with versions, conditional updates and watches. */
public final class ObjectStorage {

    private final int mHistoryLimit;
    private final Map<String, Map<String, StoredObject>> mCollections = new TreeMap<>();
    private final Deque<WatchEvent> mHistory = new ArrayDeque<>();
    private final Set<OpenWatch> mWatches = ConcurrentHashMap.newKeySet();
    private long mVersion;
    private long mDiscardedVersion;

    /** Creates an empty storage that retains the given number of changes for resumed watches. */
    public ObjectStorage(int historyLimit) {
        mHistoryLimit = historyLimit;
    }

    /** Returns an object or {@code NOT_FOUND}. */
    public synchronized Either<PlatformFailure, StoredObject> read(String collection, String name) {
        StoredObject object = objectsOf(collection).get(name);
        return object == null ? Either.left(PlatformFailure.NOT_FOUND) : Either.right(object);
    }

    /** Returns all objects of a collection and the current version of the storage. */
    public synchronized ObjectList list(String collection) {
        return new ObjectList(mVersion, new ArrayList<>(objectsOf(collection).values()));
    }

    /** Creates an object, or returns {@code CONFLICT} if the name exists. */
    public synchronized Either<PlatformFailure, StoredObject> create(
            String collection, String name, ObjectNode spec) {
        if (objectsOf(collection).containsKey(name)) {
            return Either.left(PlatformFailure.CONFLICT);
        }
        return Either.right(applyChange(WatchEventType.ADDED, collection, name, spec));
    }

    /** Replaces an object; an expected version of 0 replaces any version. */
    public synchronized Either<PlatformFailure, StoredObject> update(
            String collection, String name, long expectedVersion, ObjectNode spec) {
        return findExpectedVersion(collection, name, expectedVersion)
                .map(object -> applyChange(WatchEventType.MODIFIED, collection, name, spec));
    }

    /** Deletes an object; an expected version of 0 deletes any version. */
    public synchronized Either<PlatformFailure, StoredObject> delete(
            String collection, String name, long expectedVersion) {
        return findExpectedVersion(collection, name, expectedVersion)
                .map(
                        object ->
                                applyChange(
                                        WatchEventType.DELETED, collection, name, object.spec()));
    }

    /** Emits changes after a version; fails with {@code GONE} if some are no longer retained. */
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        return Flux.defer(() -> openWatch(collection, fromVersion));
    }

    /** Sends a bookmark with the current version to every open watch. */
    public synchronized void sendBookmarks() {
        for (OpenWatch watch : mWatches) {
            ObjectNode spec = JsonNodeFactory.instance.objectNode();
            StoredObject bookmark = new StoredObject(watch.collection(), "", mVersion, spec);
            watch.sink().tryEmitNext(new WatchEvent(WatchEventType.BOOKMARK, bookmark));
        }
    }

    /** Ends all open watches with an error. */
    public synchronized void breakWatches() {
        List.copyOf(mWatches).forEach(watch -> watch.sink().tryEmitError(watchBrokenException()));
    }

    /** Discards all retained changes, so that watches from older versions fail. */
    public synchronized void forgetHistory() {
        mHistory.clear();
        mDiscardedVersion = mVersion;
    }

    private synchronized Flux<WatchEvent> openWatch(String collection, long fromVersion) {
        if (fromVersion < mDiscardedVersion) {
            String message = "Version " + fromVersion + " is older than the retained changes.";
            return Flux.error(new PlatformException(PlatformFailure.GONE, message));
        }
        OpenWatch watch = new OpenWatch(collection, Sinks.many().unicast().onBackpressureBuffer());
        for (WatchEvent event : mHistory) {
            StoredObject object = event.object();
            if (object.version() > fromVersion && object.collection().equals(collection)) {
                watch.sink().tryEmitNext(event);
            }
        }
        mWatches.add(watch);
        return watch.sink().asFlux().doFinally(signal -> mWatches.remove(watch));
    }

    private Either<PlatformFailure, StoredObject> findExpectedVersion(
            String collection, String name, long expectedVersion) {
        return read(collection, name)
                .filterOrElse(
                        object -> expectedVersion == 0 || object.version() == expectedVersion,
                        object -> PlatformFailure.CONFLICT);
    }

    private StoredObject applyChange(
            WatchEventType type, String collection, String name, ObjectNode spec) {
        mVersion++;
        StoredObject object = new StoredObject(collection, name, mVersion, spec.deepCopy());
        if (type == WatchEventType.DELETED) {
            objectsOf(collection).remove(name);
        } else {
            objectsOf(collection).put(name, object);
        }
        publish(new WatchEvent(type, object));
        return object;
    }

    private void publish(WatchEvent event) {
        mHistory.addLast(event);
        if (mHistory.size() > mHistoryLimit) {
            mDiscardedVersion = mHistory.removeFirst().object().version();
        }
        for (OpenWatch watch : mWatches) {
            if (watch.collection().equals(event.object().collection())) {
                watch.sink().tryEmitNext(event);
            }
        }
    }

    private Map<String, StoredObject> objectsOf(String collection) {
        return mCollections.computeIfAbsent(collection, name -> new TreeMap<>());
    }

    private static PlatformException watchBrokenException() {
        return new PlatformException(
                PlatformFailure.UNAVAILABLE, "The watch was ended by an injected fault.");
    }

    private record OpenWatch(String collection, Sinks.Many<WatchEvent> sink) {}
}
