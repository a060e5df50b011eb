package org.vanillaslip.internal.peer;

import java.util.LinkedHashSet;
import java.util.Set;

/** The most recent message ids of one sender incarnation, used to drop duplicates. */
final class RecentMessageIds {

    /** Limits the memory per sender; duplicates arrive within a few messages of the original. */
    private static final int MAX_IDS = 4096;

    private final String mIncarnation;
    private final Set<Long> mIds = new LinkedHashSet<>();

    RecentMessageIds(String incarnation) {
        mIncarnation = incarnation;
    }

    boolean belongsTo(String incarnation) {
        return mIncarnation.equals(incarnation);
    }

    boolean addIfNew(long id) {
        if (!mIds.add(id)) {
            return false;
        }
        if (mIds.size() > MAX_IDS) {
            mIds.remove(mIds.iterator().next());
        }
        return true;
    }
}
