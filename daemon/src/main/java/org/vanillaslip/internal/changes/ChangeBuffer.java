package org.vanillaslip.internal.changes;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.messages.ObjectChange;

/**
 * The newest changes of one collection, without gaps, as they are sent to other hosts. Of each
 * object only the last change is kept. Confined to the decision loop.
 */
final class ChangeBuffer {

    /** Limits the changes of small objects; a host that is further behind lists the collection. */
    static final int MAX_CHANGES = 512;

    /** Limits the changes of large objects: twice the platform's limit of one value. */
    static final int MAX_BYTES = 2 << 20;

    /** The last change of each object, the oldest first. */
    private final Map<String, ObjectChange> mChanges = new LinkedHashMap<>();

    private long mBytes;
    private long mDroppedUpTo;
    private long mPosition;

    /**
     * Restarts at the position. Keeps the buffered changes if they end at exactly that position.
     */
    void restartAt(long position) {
        if (position != mPosition) {
            mChanges.clear();
            mBytes = 0;
            mDroppedUpTo = position;
            mPosition = position;
        }
    }

    /** Adds a change. */
    void add(ObjectChange change) {
        String name = change.getObject().getName();
        ObjectChange replaced = mChanges.remove(name);
        mBytes +=
                change.getSerializedSize() - (replaced == null ? 0 : replaced.getSerializedSize());
        mChanges.put(name, change);
        Iterator<ObjectChange> oldest = mChanges.values().iterator();
        while (mChanges.size() > MAX_CHANGES || mBytes > MAX_BYTES) {
            ObjectChange dropped = oldest.next();
            oldest.remove();
            mBytes -= dropped.getSerializedSize();
            mDroppedUpTo = Math.max(mDroppedUpTo, dropped.getObject().getVersion());
        }
        advanceTo(change.getObject().getVersion());
    }

    /** Records that there are no other changes up to the position. */
    void advanceTo(long position) {
        mPosition = Math.max(mPosition, position);
    }

    /** Returns the position up to which this buffer has received all changes. */
    long position() {
        return mPosition;
    }

    /** Returns the bytes of the buffered changes. */
    long bytes() {
        return mBytes;
    }

    /**
     * Returns the last change of each object after the position, or empty if some changes are no
     * longer buffered.
     */
    Optional<List<ObjectChange>> changesAfter(long position) {
        if (position < mDroppedUpTo) {
            return Optional.empty();
        }
        return Optional.of(
                mChanges.values().stream()
                        .filter(change -> change.getObject().getVersion() > position)
                        .toList());
    }
}
