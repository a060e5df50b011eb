package org.vanillaslip.internal.quota;

/**
 * Tokens from one source.
 *
 * @param borrowedGrantId the borrowed part that they come from, or 0 for the host's own bucket
 * @param headroomSequence position in the bucket's history at the charge
 */
record Withdrawal(long borrowedGrantId, long amount, long headroomSequence) {

    Withdrawal withAmount(long newAmount) {
        return new Withdrawal(borrowedGrantId, newAmount, headroomSequence);
    }
}
