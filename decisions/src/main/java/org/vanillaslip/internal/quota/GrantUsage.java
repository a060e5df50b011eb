package org.vanillaslip.internal.quota;

/**
 * Report of a borrower on the use of a grant. The amounts are totals since the grant was made, so
 * the next report makes up for a lost one.
 *
 * @param sequence grows with each report; the granter applies each report at most once and in order
 */
public record GrantUsage(long grantId, long spent, long returned, int sequence) {}
