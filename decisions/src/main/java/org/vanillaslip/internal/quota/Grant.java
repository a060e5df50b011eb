package org.vanillaslip.internal.quota;

/**
 * Tokens that a borrower may use for a limited time.
 *
 * @param validityNanos counted by the borrower from sending its request
 */
public record Grant(long id, long amount, long validityNanos) {}
