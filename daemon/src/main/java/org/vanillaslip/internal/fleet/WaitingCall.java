package org.vanillaslip.internal.fleet;

import reactor.core.publisher.MonoSink;

/**
 * A call that waits for a server.
 *
 * @param priority 0 is the most urgent
 * @param objectiveNanos time at which the call misses its objective
 * @param deadlineNanos time from which the call can no longer be served
 * @param answerBegun whether the caller has part of the answer
 * @param enqueuedNanos time at which the call started to wait
 * @param sink receives the server, or the refusal of the call
 */
record WaitingCall(
        ServerRequest request,
        int priority,
        long objectiveNanos,
        long deadlineNanos,
        boolean answerBegun,
        long enqueuedNanos,
        MonoSink<RequestSlot> sink) {}
