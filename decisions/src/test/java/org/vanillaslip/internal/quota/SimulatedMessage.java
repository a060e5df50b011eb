package org.vanillaslip.internal.quota;

import java.util.List;

/**
 * A message of the harness: a request when {@code grant} has the id 0, else a reply.
 *
 * @param collect whether the receiver may pull from others
 */
record SimulatedMessage(
        String from,
        String to,
        long requestId,
        long tokens,
        boolean collect,
        List<GrantUsage> usages,
        Grant grant,
        long deliverAt) {

    static final Grant NO_GRANT = new Grant(0, 0, 0);

    boolean isReply() {
        return grant.id() != 0;
    }

    SimulatedMessage at(long time) {
        return new SimulatedMessage(from, to, requestId, tokens, collect, usages, grant, time);
    }
}
