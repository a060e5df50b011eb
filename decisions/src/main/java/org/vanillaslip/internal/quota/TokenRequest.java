package org.vanillaslip.internal.quota;

/** Tokens that a coordinator asks an owner for. */
public record TokenRequest(String owner, long amount) {}
