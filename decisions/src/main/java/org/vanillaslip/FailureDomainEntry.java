package org.vanillaslip;

/**
 * Configuration of a failure domain.
 *
 * @param drained whether operators have drained the failure domain
 */
public record FailureDomainEntry(String name, boolean drained) implements ConfigurationItem {}
