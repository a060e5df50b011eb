package org.vanillaslip.internal.queue;

/**
 * Criteria by which a waiting call is ranked.
 *
 * @param priority 0 is the most urgent
 * @param answerBegun whether the caller has part of the answer
 * @param returned whether the caller comes back after a refusal
 * @param target what the call needs, such as a model
 * @param enqueuedNanos time at which the call started to wait
 * @param objectiveNanos time at which the call misses its objective
 * @param deadlineNanos time from which the call can no longer be served
 */
public record RankedCall(
        int priority,
        boolean answerBegun,
        boolean returned,
        CallProfile profile,
        String target,
        long enqueuedNanos,
        long objectiveNanos,
        long deadlineNanos) {

    /** Part of the time to the objective that a server needs for the first event. */
    private static final double ANSWER_TIME_FRACTION = 0.25;

    /** Returns the latest time to send the call at which it can meet its objective. */
    long latestSendNanos() {
        return objectiveNanos - (long) ((objectiveNanos - enqueuedNanos) * ANSWER_TIME_FRACTION);
    }

    /** Returns by how many levels the call has risen: one at half of its time, two at 3/4. */
    int risenLevels(long nowNanos) {
        long time = deadlineNanos - enqueuedNanos;
        long waited = nowNanos - enqueuedNanos;
        if (waited >= time - time / 4) {
            return 2;
        }
        return waited >= time / 2 ? 1 : 0;
    }
}
