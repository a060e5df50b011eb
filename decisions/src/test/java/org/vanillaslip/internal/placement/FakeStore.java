package org.vanillaslip.internal.placement;

import java.util.HashSet;
import java.util.Set;

/** A store of one shard object with conditional writes, outages and lost answers. */
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
        // The platform numbers versions across all objects, so the versions of one object have
        // gaps.
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
