package org.vanillaslip.internal.fleet;

import org.vanillaslip.internal.platform.StoreVersion;

/**
 * A server process that is no longer listed.
 *
 * @param entryVersion version of its last entry
 * @param announced whether it had announced its shutdown
 */
record RemovedServer(
        long removedAtNanos, long startedAtMillis, long entryVersion, boolean announced) {

    /** Returns whether the entry is about the same process. */
    boolean isProcessOf(RegisteredServer entry) {
        return startedAtMillis == entry.startedAtMillis();
    }

    /**
     * Returns whether an entry of the same process may come from the copy that the store was
     * restored from, and was not written again since.
     */
    boolean isRestored(RegisteredServer entry, long version) {
        return isProcessOf(entry)
                && StoreVersion.era(version) > StoreVersion.era(entryVersion)
                && StoreVersion.revision(version) <= StoreVersion.revision(entryVersion);
    }
}
