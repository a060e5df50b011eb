package org.vanillaslip.internal.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that drops the entry that was used the longest time ago when it is full. */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {

    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int mMaxEntries;

    /** Creates an empty map. */
    public BoundedMap(int maxEntries) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        mMaxEntries = maxEntries;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > mMaxEntries;
    }
}
