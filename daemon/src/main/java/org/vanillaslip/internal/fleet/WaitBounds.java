package org.vanillaslip.internal.fleet;

/**
 * Priority and time limits of a waiting call.
 *
 * @param priority 0 is the most urgent
 * @param objectiveNanos time at which the call misses its objective
 * @param deadlineNanos time from which the call can no longer be served
 * @param answerBegun whether the caller has part of the answer, so that a refusal would cut it
 */
public record WaitBounds(
        int priority, long objectiveNanos, long deadlineNanos, boolean answerBegun) {}
