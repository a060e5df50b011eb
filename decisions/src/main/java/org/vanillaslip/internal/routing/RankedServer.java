package org.vanillaslip.internal.routing;

/**
 * A server that can take a call.
 *
 * @param inUse places in use, as far as this host knows
 * @param sameDomain whether the server is in the failure domain of this host
 * @param promptCached whether the server has read the call's prompt parts
 * @param suspected whether most servers beside it could not be reached a short while ago
 */
public record RankedServer(
        String instance,
        double inUse,
        int capacity,
        boolean sameDomain,
        boolean promptCached,
        boolean suspected) {}
