package org.vanillaslip.internal.duty;

/**
 * Ordered and listed number of servers of a pool in a failure domain.
 *
 * @param listed listed servers that do not leave
 */
public record ServerCountGauge(String pool, String failureDomain, int ordered, int listed) {}
