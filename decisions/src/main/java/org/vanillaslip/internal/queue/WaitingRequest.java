package org.vanillaslip.internal.queue;

import org.vanillaslip.RequestClass;
import org.vanillaslip.internal.admission.Caller;

/**
 * A request that waits for a backend server.
 *
 * @param target model, or pool of plain services, for which the request waits
 * @param tokens estimated tokens with which fair queueing charges the workspace
 * @param bytes memory that the request uses while it waits
 */
public record WaitingRequest(
        String id,
        String target,
        Caller caller,
        RequestClass requestClass,
        long tokens,
        long bytes,
        long deadlineNanos) {}
