package org.vanillaslip.internal.quota;

/** Number of tokens to request from an owner. */
public record TokenRequest(String owner, long amount) {}
