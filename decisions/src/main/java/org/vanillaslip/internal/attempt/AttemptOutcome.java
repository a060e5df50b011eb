package org.vanillaslip.internal.attempt;

/** The response of a plain service, recorded to be replayed to repeated requests. */
public record AttemptOutcome(int status, String contentType, String bodyBase64) {}
