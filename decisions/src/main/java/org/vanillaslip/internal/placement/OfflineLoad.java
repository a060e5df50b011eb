package org.vanillaslip.internal.placement;

/**
 * A load that hosts may carry out on a server while no lease holder can be reached. Its memory
 * counts as taken even when nobody has carried it out.
 *
 * @param retiredVersion object version at which the load was withdrawn; 0 while it is in force
 */
public record OfflineLoad(
        long decision,
        long term,
        String server,
        String model,
        String version,
        long memoryBytes,
        long retiredVersion) {

    /** Returns whether the placement holds the same model on the same server. */
    public boolean coveredBy(Placement placement) {
        return placement.server().equals(server) && placement.isFor(model, version, "");
    }

    /** Returns whether hosts may still carry out this load. */
    public boolean active() {
        return retiredVersion == 0;
    }

    /** Returns this load withdrawn after the given object version. */
    public OfflineLoad withdrawn(long objectVersion) {
        return new OfflineLoad(decision, term, server, model, version, memoryBytes, objectVersion);
    }

    /** Returns this load taken over by the holder of a newer term. */
    public OfflineLoad withTerm(long newTerm) {
        return new OfflineLoad(
                decision, newTerm, server, model, version, memoryBytes, retiredVersion);
    }
}
