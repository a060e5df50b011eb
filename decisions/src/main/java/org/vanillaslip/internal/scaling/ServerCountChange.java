package org.vanillaslip.internal.scaling;

/** Change of the number of servers of a pool in a failure domain. */
public record ServerCountChange(
        String failureDomain, int before, int after, ServerCountReason reason) {}
