package org.vanillaslip.internal.fleet;

import reactor.core.publisher.MonoSink;

/**
 * A call that waits for a server.
 *
 * @param priority 0 is the most urgent
 * @param objectiveNanos when the call stops being on time
 * @param deadlineNanos when the call can no longer be served
 */
record WaitingCall(
        ServerRequest request,
        int priority,
        long objectiveNanos,
        long deadlineNanos,
        long enqueuedNanos,
        MonoSink<FleetMember> sink) {}
