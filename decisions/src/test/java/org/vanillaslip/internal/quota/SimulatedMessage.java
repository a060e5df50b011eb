package org.vanillaslip.internal.quota;

import java.util.List;

/**
 * A simulated message: a request if the ID of {@code grant} is 0, else a reply.
 *
 * @param collect whether the receiver may request tokens from other hosts
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
