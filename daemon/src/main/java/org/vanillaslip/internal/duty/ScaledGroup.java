package org.vanillaslip.internal.duty;

/** The servers of a pool in a failure domain, whose number is ordered together. */
record ScaledGroup(String pool, String failureDomain) {}
