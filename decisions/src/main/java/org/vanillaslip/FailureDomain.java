package org.vanillaslip;

/** A zone that can fail or be partitioned as a whole. */
public record FailureDomain(String name) {}
