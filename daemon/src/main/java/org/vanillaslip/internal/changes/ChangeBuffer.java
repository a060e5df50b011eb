package org.vanillaslip.internal.changes;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;

/** The newest changes of one collection without a gap; used on the decision loop only. */
final class ChangeBuffer {

    /** Bounds memory; a host that is further behind lists the collection. */
    static final int MAX_CHANGES = 512;

    private final Deque<WatchEvent> mChanges = new ArrayDeque<>();
    private long mDroppedUpTo;
    private long mPosition;

    /** Begins at the position; what was known before stays if nothing is missing between. */
    void restartAt(long position) {
        if (position != mPosition) {
            mChanges.clear();
            mDroppedUpTo = position;
            mPosition = position;
        }
    }

    /** Adds a change, or a bookmark that only moves the position. */
    void add(WatchEvent event) {
        if (event.type() != WatchEventType.BOOKMARK) {
            mChanges.add(event);
            if (mChanges.size() > MAX_CHANGES) {
                mDroppedUpTo = Math.max(mDroppedUpTo, mChanges.remove().object().version());
            }
        }
        mPosition = Math.max(mPosition, event.object().version());
    }

    /** Returns the position up to which all changes are known. */
    long position() {
        return mPosition;
    }

    /** Returns the changes after the position, or empty when some of them are not known. */
    Optional<List<WatchEvent>> changesAfter(long position) {
        if (position < mDroppedUpTo) {
            return Optional.empty();
        }
        return Optional.of(
                mChanges.stream().filter(event -> event.object().version() > position).toList());
    }
}
