package org.vanillaslip.internal.queue;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * The waiting requests of one workspace for one target, ordered by class and deadline. The start
 * tag is the virtual time of start-time fair queueing at which its next request starts.
 */
final class WorkspaceQueue {

    static final Comparator<WaitingRequest> ORDER =
            Comparator.comparing(WaitingRequest::requestClass)
                    .thenComparingLong(WaitingRequest::deadlineNanos)
                    .thenComparing(WaitingRequest::id);

    private final TreeSet<WaitingRequest> mRequests = new TreeSet<>(ORDER);
    private long mStartTag;

    WorkspaceQueue(long startTag) {
        mStartTag = startTag;
    }

    TreeSet<WaitingRequest> requests() {
        return mRequests;
    }

    long startTag() {
        return mStartTag;
    }

    void raiseStartTag(long virtualTime) {
        mStartTag = Math.max(mStartTag, virtualTime);
    }

    void charge(long tokens) {
        mStartTag = Math.max(0, mStartTag + tokens);
    }
}
