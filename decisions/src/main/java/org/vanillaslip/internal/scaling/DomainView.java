package org.vanillaslip.internal.scaling;

/** How far the demand and the servers of a failure domain are known. */
public enum DomainView {
    /** Hosts and servers are heard from, and calls are sent there. */
    FOLLOWED,
    /** Operators have drained the failure domain. */
    DRAINED,
    /** Hosts or servers are not heard from: partitioned, or lost. */
    UNHEARD
}
