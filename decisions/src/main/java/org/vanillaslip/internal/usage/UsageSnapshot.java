package org.vanillaslip.internal.usage;

import java.util.Map;

/**
 * Calls that one process has counted in a window so far.
 *
 * @param complete whether the window has ended
 */
public record UsageSnapshot(long window, boolean complete, Map<String, Long> callsByWorkspace) {

    /** Copies the counts so that the record is immutable. */
    public UsageSnapshot {
        callsByWorkspace = Map.copyOf(callsByWorkspace);
    }

    /** Returns the number of calls of all workspaces. */
    public long calls() {
        return callsByWorkspace.values().stream().mapToLong(Long::longValue).sum();
    }
}
