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

    /** A short objective leaves more of its time, because an engine may queue the call first. */
    private static final double MAX_ANSWER_TIME_FRACTION = 0.4;

    /** 200 ms: time for the first event that a short objective leaves if it can. */
    private static final double MIN_ANSWER_NANOS = 200e6;

    /** Returns the latest time to send the call at which it can meet its objective. */
    long latestSendNanos() {
        double objective = objectiveNanos - enqueuedNanos;
        double answerTime =
                Math.max(
                        objective * ANSWER_TIME_FRACTION,
                        Math.min(objective * MAX_ANSWER_TIME_FRACTION, MIN_ANSWER_NANOS));
        return objectiveNanos - (long) answerTime;
    }

    /** Returns whether the call can still meet its objective. */
    boolean meetsObjective(long nowNanos) {
        return latestSendNanos() - nowNanos >= 0;
    }

    /** Returns whether the call rises a level: from half of the time to its objective on. */
    boolean hasRisen(long nowNanos) {
        long half = enqueuedNanos + (objectiveNanos - enqueuedNanos) / 2;
        return nowNanos - half >= 0 && meetsObjective(nowNanos);
    }
}
