package org.vanillaslip.internal.backend.forward;

/** A complete response of a plain service. */
public record ServiceResponse(int status, String contentType, byte[] body) {}
