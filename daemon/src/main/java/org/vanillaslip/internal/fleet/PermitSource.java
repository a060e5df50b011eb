package org.vanillaslip.internal.fleet;

/** Obtains permits for requests to servers that limit them. */
@FunctionalInterface
public interface PermitSource {

    /** Grants no permits. */
    PermitSource NONE = (server, calls, deadlineNanos) -> {};

    /**
     * Requests a permit unless this host has enough or has one requested.
     *
     * @param calls calls that wait for permits
     * @param deadlineNanos time after which a permit is of no use
     */
    void request(FleetMember server, int calls, long deadlineNanos);
}
