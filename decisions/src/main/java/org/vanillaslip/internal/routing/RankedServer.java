package org.vanillaslip.internal.routing;

/**
 * A server that can take a call, with the properties by which {@link ServerRanking} ranks it.
 *
 * @param inUse calls that run on the server, as far as this host knows
 * @param capacity calls that the server runs at the same time
 * @param sameDomain whether the server is in the failure domain of this host
 * @param promptCached whether the server has cached the prompt parts of the call
 * @param suspected whether other servers of its failure domain could not be reached recently
 */
public record RankedServer(
        String instance,
        double inUse,
        int capacity,
        boolean sameDomain,
        boolean promptCached,
        boolean suspected) {}
