package org.vanillaslip.internal.queue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.Workspace;

/** Start-time fair queueing of the requests for one target, with one flow per workspace. */
final class TargetQueue {

    private final Map<Workspace, WorkspaceQueue> mWorkspaces = new HashMap<>();
    private long mVirtualTime;

    void add(WaitingRequest request) {
        WorkspaceQueue queue =
                mWorkspaces.computeIfAbsent(
                        request.caller().accountedWorkspace(),
                        workspace -> new WorkspaceQueue(mVirtualTime));
        if (queue.requests().isEmpty()) {
            queue.raiseStartTag(mVirtualTime);
        }
        queue.requests().add(request);
    }

    /** Returns the next request without removing it. */
    Optional<WaitingRequest> peek() {
        return mWorkspaces.values().stream()
                .filter(queue -> !queue.requests().isEmpty())
                .min(
                        Comparator.comparingLong(WorkspaceQueue::startTag)
                                .thenComparing(
                                        queue -> queue.requests().first(), WorkspaceQueue.ORDER))
                .map(queue -> queue.requests().first());
    }

    /** Charges the workspace for a request that leaves the queue to run. */
    void serve(WaitingRequest request) {
        WorkspaceQueue queue = mWorkspaces.get(request.caller().accountedWorkspace());
        if (queue != null) {
            mVirtualTime = Math.max(mVirtualTime, queue.startTag());
            queue.charge(request.tokens());
            remove(request);
        }
    }

    void remove(WaitingRequest request) {
        WorkspaceQueue queue = mWorkspaces.get(request.caller().accountedWorkspace());
        if (queue != null) {
            queue.requests().remove(request);
        }
        // The busy period ends with the last waiting request; then all start tags are reset.
        if (mWorkspaces.values().stream().allMatch(other -> other.requests().isEmpty())) {
            mWorkspaces.clear();
        }
    }

    /** Adds the difference between used and estimated tokens to the charge of a workspace. */
    void correctCharge(Workspace workspace, long difference) {
        WorkspaceQueue queue = mWorkspaces.get(workspace);
        if (queue != null) {
            queue.charge(difference);
        }
    }

    /** Returns the number of requests served before a new one of the workspace at equal shares. */
    int requestsAhead(Workspace workspace) {
        WorkspaceQueue ownQueue = mWorkspaces.get(workspace);
        int ownWaiting = ownQueue == null ? 0 : ownQueue.requests().size();
        return mWorkspaces.entrySet().stream()
                .mapToInt(
                        entry ->
                                entry.getKey().equals(workspace)
                                        ? ownWaiting
                                        : Math.min(
                                                entry.getValue().requests().size(), ownWaiting + 1))
                .sum();
    }

    boolean isEmpty() {
        return mWorkspaces.isEmpty();
    }
}
