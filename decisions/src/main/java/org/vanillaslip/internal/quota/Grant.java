package org.vanillaslip.internal.quota;

/**
 * Tokens that a borrower may use for a limited time.
 *
 * @param validityNanos how long the tokens may be used, from when the borrower sent its request
 */
public record Grant(long id, long amount, long validityNanos) {}
