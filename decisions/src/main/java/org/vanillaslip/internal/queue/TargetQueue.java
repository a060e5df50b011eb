package org.vanillaslip.internal.queue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.Workspace;

/** Start-time fair queueing between workspaces for one target. */
final class TargetQueue {

    private final Map<Workspace, WorkspaceQueue> mWorkspaces = new HashMap<>();
    private long mVirtualTime;

    void add(WaitingRequest request) {
        WorkspaceQueue line =
                mWorkspaces.computeIfAbsent(
                        request.caller().accountedWorkspace(),
                        workspace -> new WorkspaceQueue(mVirtualTime));
        if (line.requests().isEmpty()) {
            line.raiseStartTag(mVirtualTime);
        }
        line.requests().add(request);
    }

    /** Returns the next request without removing it. */
    Optional<WaitingRequest> peek() {
        return mWorkspaces.values().stream()
                .filter(line -> !line.requests().isEmpty())
                .min(
                        Comparator.comparingLong(WorkspaceQueue::startTag)
                                .thenComparing(
                                        line -> line.requests().first(), WorkspaceQueue.ORDER))
                .map(line -> line.requests().first());
    }

    /** Charges the workspace for a request that leaves the queue to run. */
    void serve(WaitingRequest request) {
        WorkspaceQueue line = mWorkspaces.get(request.caller().accountedWorkspace());
        if (line != null) {
            mVirtualTime = Math.max(mVirtualTime, line.startTag());
            line.charge(request.tokens());
            remove(request);
        }
    }

    void remove(WaitingRequest request) {
        WorkspaceQueue line = mWorkspaces.get(request.caller().accountedWorkspace());
        if (line != null) {
            line.requests().remove(request);
        }
        // Without waiting requests the busy period ends, and all workspaces start equal again.
        if (mWorkspaces.values().stream().allMatch(idle -> idle.requests().isEmpty())) {
            mWorkspaces.clear();
        }
    }

    /** Corrects the charge of a workspace to the tokens that it really used. */
    void correctCharge(Workspace workspace, long difference) {
        WorkspaceQueue line = mWorkspaces.get(workspace);
        if (line != null) {
            line.charge(difference);
        }
    }

    /** Returns how many requests are served before a new one of the workspace, by fair shares. */
    int requestsAhead(Workspace workspace) {
        WorkspaceQueue own = mWorkspaces.get(workspace);
        int position = own == null ? 0 : own.requests().size();
        return mWorkspaces.entrySet().stream()
                .mapToInt(
                        entry ->
                                entry.getKey().equals(workspace)
                                        ? position
                                        : Math.min(
                                                entry.getValue().requests().size(), position + 1))
                .sum();
    }

    boolean isEmpty() {
        return mWorkspaces.isEmpty();
    }
}
