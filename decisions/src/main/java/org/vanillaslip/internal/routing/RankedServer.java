package org.vanillaslip.internal.routing;

/**
 * A server that can take a call, with the properties by which {@link ServerRanking} ranks it.
 *
 * @param inUse calls that run on the server, as far as this host knows
 * @param requestSlots maximum number of calls that the server runs at the same time
 * @param sameDomain whether the server is in the failure domain of this host
 * @param promptCached whether the server has cached the prompt parts of the call
 * @param suspected whether the server may be unreachable like others of its failure domain
 * @param speed speed relative to the median server of the pool; 1 if it is not measured
 */
public record RankedServer(
        String instance,
        double inUse,
        int requestSlots,
        boolean sameDomain,
        boolean promptCached,
        boolean suspected,
        double speed) {

    /** Creates a server without a measured speed. */
    public RankedServer(
            String instance,
            double inUse,
            int requestSlots,
            boolean sameDomain,
            boolean promptCached,
            boolean suspected) {
        this(instance, inUse, requestSlots, sameDomain, promptCached, suspected, 1);
    }
}
