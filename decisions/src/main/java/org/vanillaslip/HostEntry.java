package org.vanillaslip;

/**
 * Operators' state of a host.
 *
 * @param drained whether operators have taken the host out
 */
public record HostEntry(String name, boolean drained) implements ConfigurationItem {}
