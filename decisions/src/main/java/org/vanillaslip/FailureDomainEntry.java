package org.vanillaslip;

/**
 * Operators' state of a failure domain.
 *
 * @param drained whether operators have taken the failure domain out
 */
public record FailureDomainEntry(String name, boolean drained) implements ConfigurationItem {}
