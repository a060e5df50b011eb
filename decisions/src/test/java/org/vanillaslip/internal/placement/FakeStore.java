package org.vanillaslip.internal.placement;

import java.util.HashSet;
import java.util.Set;

/** One shard object with conditional writes, an outage switch and lost answers. */
final class FakeStore {

    private final Set<String> mUnreachableFrom = new HashSet<>();
    private ShardRecord mRecord = ShardRecord.EMPTY;
    private long mVersion;
    boolean mUnavailable;
    int mAnswersToLose;
    int mWritesToDelay;

    boolean reachable(String host) {
        return !mUnavailable && !mUnreachableFrom.contains(host);
    }

    void disconnect(String host) {
        mUnreachableFrom.add(host);
    }

    void reconnect() {
        mUnavailable = false;
        mUnreachableFrom.clear();
    }

    boolean write(long expected, ShardRecord record) {
        if (expected != mVersion) {
            return false;
        }
        // Versions grow over all objects of the platform, so those of one object have gaps.
        mVersion += 3;
        mRecord = record;
        return true;
    }

    long version() {
        return mVersion;
    }

    ShardRecord record() {
        return mRecord;
    }
}
