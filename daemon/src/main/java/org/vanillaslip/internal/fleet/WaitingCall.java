package org.vanillaslip.internal.fleet;

import org.vanillaslip.internal.queue.RankedCall;
import reactor.core.publisher.MonoSink;

/**
 * A call that waits for a server.
 *
 * @param criteria priority and times of the call
 * @param sink receives the server, or the refusal of the call
 */
record WaitingCall(ServerRequest request, RankedCall criteria, MonoSink<RequestSlot> sink) {

    /** Part of its time that a call leaves for the answer of a server with a limit. */
    private static final double ANSWER_TIME_FRACTION = 0.25;

    /** Returns the call's target. */
    CallTarget target() {
        return request.target();
    }

    /** Returns the priority; 0 is the most urgent. */
    int priority() {
        return criteria.priority();
    }

    /** Returns the time at which the call misses its objective. */
    long objectiveNanos() {
        return criteria.objectiveNanos();
    }

    /** Returns the time from which the call can no longer be served. */
    long deadlineNanos() {
        return criteria.deadlineNanos();
    }

    /** Returns whether the caller has part of the answer. */
    boolean answerBegun() {
        return criteria.answerBegun();
    }

    /** Returns the time at which the call started to wait. */
    long enqueuedNanos() {
        return criteria.enqueuedNanos();
    }

    /** Returns the time for the answer; a call sent later only costs the server a request. */
    long answerTimeNanos() {
        return (long) ((deadlineNanos() - enqueuedNanos()) * ANSWER_TIME_FRACTION);
    }
}
