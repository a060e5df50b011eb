package org.vanillaslip.internal.placement;

/**
 * A load that hosts may execute on a server while they cannot reach a lease holder. Its memory
 * counts as used even if no host has executed it.
 *
 * @param retiredVersion object version at which the load was withdrawn; 0 while it is active
 */
public record OfflineLoad(
        long decision,
        long term,
        String server,
        String model,
        String version,
        long memoryBytes,
        long retiredVersion) {

    /** Returns whether the placement is for the same model version on the same server. */
    public boolean coveredBy(Placement placement) {
        return placement.server().equals(server) && placement.isFor(model, version, "");
    }

    /** Returns whether hosts may still execute this load. */
    public boolean active() {
        return retiredVersion == 0;
    }

    /** Returns this load, withdrawn at the given object version. */
    public OfflineLoad withdrawn(long objectVersion) {
        return new OfflineLoad(decision, term, server, model, version, memoryBytes, objectVersion);
    }

    /** Returns this load under the term of a newer lease holder. */
    public OfflineLoad withTerm(long newTerm) {
        return new OfflineLoad(
                decision, newTerm, server, model, version, memoryBytes, retiredVersion);
    }
}
