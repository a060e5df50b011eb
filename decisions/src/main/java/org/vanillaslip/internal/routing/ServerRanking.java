package org.vanillaslip.internal.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses the server with the most room; distance and kept prompts count like a little load. */
public final class ServerRanking {

    /** Calls to other failure domains are slower and their bytes are paid for. */
    private static final double OTHER_DOMAIN_COST = 0.12;

    /** A kept prompt saves a few milliseconds of reading. */
    private static final double CACHED_PROMPT_BONUS = 0.08;

    /** A connection that is not made costs a call 250 ms, more than half a server's load does. */
    private static final double SUSPECTED_COST = 0.5;

    /** Spreads calls over servers that look alike to every host. */
    private static final double JITTER = 0.01;

    /**
     * Calls that another host may have sent to a server since this host last heard of it. Without
     * this doubt, many hosts with the same old news send to one server until the next news.
     */
    private static final double UNREPORTED_CALLS_PER_HOST = 1;

    private ServerRanking() {}

    /**
     * Returns the best server, or empty when there is none.
     *
     * @param hosts number of hosts that may send calls, this host included
     */
    public static Optional<RankedServer> best(
            List<RankedServer> servers, int hosts, RandomGenerator random) {
        double unreportedCalls = (hosts - 1) * UNREPORTED_CALLS_PER_HOST;
        RankedServer best = null;
        double lowestCost = Double.MAX_VALUE;
        for (RankedServer server : servers) {
            double uncertainty =
                    Math.max(JITTER, Math.min(1, unreportedCalls / Math.max(1, server.capacity())));
            double cost = cost(server) + random.nextDouble() * uncertainty;
            if (server.suspected()) {
                cost += SUSPECTED_COST + uncertainty;
            }
            if (cost < lowestCost) {
                lowestCost = cost;
                best = server;
            }
        }
        return Optional.ofNullable(best);
    }

    private static double cost(RankedServer server) {
        double cost = server.inUse() / Math.max(1, server.capacity());
        if (!server.sameDomain()) {
            cost += OTHER_DOMAIN_COST;
        }
        if (server.promptCached()) {
            cost -= CACHED_PROMPT_BONUS;
        }
        return cost;
    }
}
