package org.vanillaslip.internal.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Ranks servers by their load relative to their speed. A server in another failure domain counts as
 * a little more loaded, a server that caches the prompt as a little less.
 */
public final class ServerRanking {

    /** Calls to other failure domains are slower, and their traffic is billed. */
    private static final double OTHER_DOMAIN_COST = 0.12;

    /** A cached prompt saves a few milliseconds of prompt processing. */
    private static final double CACHED_PROMPT_BONUS = 0.08;

    /** A failed connection delays a call by 250 ms, more than a server at half load does. */
    private static final double SUSPECTED_COST = 0.5;

    /** Spreads calls over servers that have the same cost for every host. */
    private static final double JITTER = 0.01;

    /**
     * Calls that each other host may have sent to a server since its last load report. Without this
     * uncertainty, hosts with the same stale report all send to one server until the next report.
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
                    Math.max(
                            JITTER,
                            Math.min(1, unreportedCalls / Math.max(1, server.requestSlots())));
            double cost = cost(server) + random.nextDouble() * uncertainty / server.speed();
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
        double cost = server.inUse() / Math.max(1, server.requestSlots()) / server.speed();
        if (!server.sameDomain()) {
            cost += OTHER_DOMAIN_COST;
        }
        if (server.promptCached()) {
            cost -= CACHED_PROMPT_BONUS;
        }
        return cost;
    }
}
