package org.vanillaslip.internal.quota;

/**
 * Tokens taken from one source.
 *
 * @param borrowedGrantId the borrowed grant that the tokens come from, or 0 for the host's own
 *     bucket
 * @param headroomSequence sequence number in the bucket's {@link HeadroomHistory} at the charge
 */
record Withdrawal(long borrowedGrantId, long amount, long headroomSequence) {

    Withdrawal withAmount(long newAmount) {
        return new Withdrawal(borrowedGrantId, newAmount, headroomSequence);
    }
}
