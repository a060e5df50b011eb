package org.vanillaslip.internal.standins.platform;

import java.util.EnumMap;
import java.util.Map;

/** Thread-safe counters of received calls by kind, including refused calls. */
public final class CallCounts {

    private final Map<CallKind, Long> mCounts = new EnumMap<>(CallKind.class);

    /** Counts one call. */
    public synchronized void increment(CallKind kind) {
        mCounts.merge(kind, 1L, Long::sum);
    }

    /** Returns the number of calls of the kind. */
    public synchronized long of(CallKind kind) {
        return mCounts.getOrDefault(kind, 0L);
    }
}
