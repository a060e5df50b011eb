package org.vanillaslip.internal.quota;

/**
 * What a borrower did with a grant so far. The amounts are totals since the grant, so a lost report
 * is made good by the next one.
 *
 * @param sequence grows with each report; a granter applies each at most once and in order
 */
public record GrantUsage(long grantId, long spent, long returned, int sequence) {}
