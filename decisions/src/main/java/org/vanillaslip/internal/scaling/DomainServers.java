package org.vanillaslip.internal.scaling;

import java.util.Set;

/**
 * Listed servers of a pool in a failure domain.
 *
 * @param ready servers that do not leave, cold ones included
 * @param cold servers among them that are still warming up
 * @param leaving names of servers that have announced their shutdown
 */
public record DomainServers(
        String failureDomain, DomainView view, int ready, int cold, Set<String> leaving) {

    /** Copies the set so that the record is immutable. */
    public DomainServers {
        leaving = Set.copyOf(leaving);
    }
}
