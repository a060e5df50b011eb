package org.vanillaslip.internal.proofs.measures;

import java.util.HashMap;
import java.util.Map;
import org.vanillaslip.internal.placement.ShardRecord;

/** The shard objects of the platform with conditional updates. */
final class RecordStore {

    private record Stored(long version, ShardRecord record) {}

    private static final Stored NONE = new Stored(0, ShardRecord.EMPTY);

    private final Map<String, Stored> mObjects = new HashMap<>();
    private long mVersion;

    long version(String shard) {
        return mObjects.getOrDefault(shard, NONE).version();
    }

    ShardRecord record(String shard) {
        return mObjects.getOrDefault(shard, NONE).record();
    }

    /** Writes the object unless it has another version; returns whether it was written. */
    boolean write(String shard, long expectedVersion, ShardRecord record) {
        if (version(shard) != expectedVersion) {
            return false;
        }
        mObjects.put(shard, new Stored(++mVersion, record));
        return true;
    }

    Map<String, ShardRecord> records() {
        Map<String, ShardRecord> records = new HashMap<>();
        mObjects.forEach((shard, stored) -> records.put(shard, stored.record()));
        return records;
    }
}
