package org.vanillaslip.internal.peer;

import java.util.LinkedHashSet;
import java.util.Set;

/** Recent request ids of one sender incarnation; a repeated request is dropped. */
final class RecentMessageIds {

    /** Bounds memory per sender; duplicates arrive within a few messages of the original. */
    private static final int REMEMBERED = 4096;

    private final String mIncarnation;
    private final Set<Long> mRequestIds = new LinkedHashSet<>();

    RecentMessageIds(String incarnation) {
        mIncarnation = incarnation;
    }

    boolean belongsTo(String incarnation) {
        return mIncarnation.equals(incarnation);
    }

    boolean addIfNew(long requestId) {
        if (!mRequestIds.add(requestId)) {
            return false;
        }
        if (mRequestIds.size() > REMEMBERED) {
            mRequestIds.remove(mRequestIds.iterator().next());
        }
        return true;
    }
}
