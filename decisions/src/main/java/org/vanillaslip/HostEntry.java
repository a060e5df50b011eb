package org.vanillaslip;

/**
 * Configuration of a host.
 *
 * @param drained whether operators have drained the host
 */
public record HostEntry(String name, boolean drained) implements ConfigurationItem {}
