package org.vanillaslip.internal.quota;

/**
 * Tokens from one source.
 *
 * @param partId the borrowed part that they come from, or 0 for the host's own bucket
 * @param mark position in the bucket's history at the charge
 */
record Withdrawal(long partId, long amount, long mark) {

    Withdrawal withAmount(long newAmount) {
        return new Withdrawal(partId, newAmount, mark);
    }
}
