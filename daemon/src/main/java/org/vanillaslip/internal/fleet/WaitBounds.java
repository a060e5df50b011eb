package org.vanillaslip.internal.fleet;

import org.vanillaslip.internal.queue.CallProfile;

/**
 * Priority and time limits of a waiting call.
 *
 * @param priority 0 is the most urgent
 * @param objectiveNanos time at which the call misses its objective
 * @param deadlineNanos time from which the call can no longer be served
 * @param answerBegun whether the caller has part of the answer, so that a refusal would cut it
 * @param profile what the rank of the call depends on apart from priority and times
 */
public record WaitBounds(
        int priority,
        long objectiveNanos,
        long deadlineNanos,
        boolean answerBegun,
        CallProfile profile) {

    /** Creates the limits of a call about which nothing else is known. */
    public WaitBounds(int priority, long objectiveNanos, long deadlineNanos, boolean answerBegun) {
        this(priority, objectiveNanos, deadlineNanos, answerBegun, CallProfile.UNKNOWN);
    }
}
