package org.vanillaslip.internal.fleet;

/**
 * How long a call may wait.
 *
 * @param priority 0 is the most urgent
 * @param objectiveNanos when the call stops being on time
 * @param deadlineNanos when the call can no longer be served
 */
public record WaitBounds(int priority, long objectiveNanos, long deadlineNanos) {}
