package org.vanillaslip;

/** A zone whose machines can fail, or lose their connection to other zones, together. */
public record FailureDomain(String name) {}
