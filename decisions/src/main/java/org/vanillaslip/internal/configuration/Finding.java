package org.vanillaslip.internal.configuration;

/**
 * Something in a valid configuration that is probably a mistake.
 *
 * @param item object name of the configuration item
 */
public record Finding(FindingKind kind, String item, String text) {}
