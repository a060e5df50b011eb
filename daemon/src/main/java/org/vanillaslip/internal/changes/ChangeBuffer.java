package org.vanillaslip.internal.changes;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;

/** The newest changes of one collection, without gaps. Confined to the decision loop. */
final class ChangeBuffer {

    /** Limits memory use; a host that is further behind lists the collection. */
    static final int MAX_CHANGES = 512;

    private final Deque<WatchEvent> mChanges = new ArrayDeque<>();
    private long mDroppedUpTo;
    private long mPosition;

    /**
     * Restarts at the position. Keeps the buffered changes if they end at exactly that position.
     */
    void restartAt(long position) {
        if (position != mPosition) {
            mChanges.clear();
            mDroppedUpTo = position;
            mPosition = position;
        }
    }

    /** Adds a change, or a bookmark that only advances the position. */
    void add(WatchEvent event) {
        if (event.type() != WatchEventType.BOOKMARK) {
            mChanges.add(event);
            if (mChanges.size() > MAX_CHANGES) {
                mDroppedUpTo = Math.max(mDroppedUpTo, mChanges.remove().object().version());
            }
        }
        mPosition = Math.max(mPosition, event.object().version());
    }

    /** Returns the position up to which this buffer has received all changes. */
    long position() {
        return mPosition;
    }

    /**
     * Returns the last change of each object after the position, or empty if some changes are no
     * longer buffered.
     */
    Optional<List<WatchEvent>> changesAfter(long position) {
        if (position < mDroppedUpTo) {
            return Optional.empty();
        }
        Map<String, WatchEvent> lastChanges = new LinkedHashMap<>();
        for (WatchEvent event : mChanges) {
            if (event.object().version() > position) {
                lastChanges.remove(event.object().name());
                lastChanges.put(event.object().name(), event);
            }
        }
        return Optional.of(List.copyOf(lastChanges.values()));
    }
}
