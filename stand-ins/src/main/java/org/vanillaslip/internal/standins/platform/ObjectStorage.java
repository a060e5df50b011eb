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

/** Objects in memory with versions, conditional updates and watches; safe for use by threads. */
public final class ObjectStorage {

    private final int mHistoryLimit;
    private final Map<String, Map<String, StoredObject>> mCollections = new TreeMap<>();
    private final Deque<WatchEvent> mHistory = new ArrayDeque<>();
    private final Set<OpenWatch> mWatches = ConcurrentHashMap.newKeySet();
    private long mVersion;
    private long mDiscardedVersion;

    /** Creates an empty storage that keeps the given number of changes for resumed watches. */
    public ObjectStorage(int historyLimit) {
        mHistoryLimit = historyLimit;
    }

    /** Reads one object. */
    public synchronized Either<PlatformFailure, StoredObject> read(String collection, String name) {
        StoredObject object = objectsOf(collection).get(name);
        return object == null ? Either.left(PlatformFailure.NOT_FOUND) : Either.right(object);
    }

    /** Lists a collection. */
    public synchronized ObjectList list(String collection) {
        return new ObjectList(mVersion, new ArrayList<>(objectsOf(collection).values()));
    }

    /** Creates an object unless the name exists. */
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

    /** Emits changes after the position; ends with GONE when some of them are forgotten. */
    public Flux<WatchEvent> watch(String collection, long fromVersion) {
        return Flux.defer(() -> openWatch(collection, fromVersion));
    }

    /** Sends a bookmark with the current position to every open watch. */
    public synchronized void sendBookmarks() {
        for (OpenWatch watch : mWatches) {
            ObjectNode spec = JsonNodeFactory.instance.objectNode();
            StoredObject position = new StoredObject(watch.collection(), "", mVersion, spec);
            watch.sink().tryEmitNext(new WatchEvent(WatchEventType.BOOKMARK, position));
        }
    }

    /** Breaks the connections of all open watches. */
    public synchronized void breakWatches() {
        List.copyOf(mWatches).forEach(watch -> watch.sink().tryEmitError(watchBrokenException()));
    }

    /** Forgets all past changes, so that older watch positions are gone. */
    public synchronized void forgetHistory() {
        mHistory.clear();
        mDiscardedVersion = mVersion;
    }

    private synchronized Flux<WatchEvent> openWatch(String collection, long fromVersion) {
        if (fromVersion < mDiscardedVersion) {
            String message = "Position " + fromVersion + " is older than the kept changes.";
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
        return new PlatformException(PlatformFailure.UNAVAILABLE, "The watch was broken.");
    }

    private record OpenWatch(String collection, Sinks.Many<WatchEvent> sink) {}
}
