package org.vanillaslip.internal.attempt;

/** The response of a plain service as recorded for repeats; the body is in Base64. */
public record AttemptOutcome(int status, String contentType, String bodyBase64) {}
