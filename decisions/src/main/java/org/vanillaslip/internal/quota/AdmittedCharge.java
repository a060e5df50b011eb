package org.vanillaslip.internal.quota;

/**
 * Tokens that a replicated bucket has admitted.
 *
 * @param headroomSequence position in the history of the bucket, which limits a refund
 */
public record AdmittedCharge(long tokens, long headroomSequence) {}
