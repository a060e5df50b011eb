package org.vanillaslip.internal.queue;

import org.vanillaslip.RequestClass;
import org.vanillaslip.internal.admission.Caller;

/**
 * A request that waits for a backend server.
 *
 * @param target names the queue: a model or a pool of plain services
 * @param tokens estimate by which the workspace is charged for fairness
 * @param bytes memory held while it waits
 */
public record WaitingRequest(
        String id,
        String target,
        Caller caller,
        RequestClass requestClass,
        long tokens,
        long bytes,
        long deadlineNanos) {}
