package org.vanillaslip.internal.backend.forward;

/** The complete response of a plain service. */
public record ServiceResponse(int status, String contentType, byte[] body) {}
