package org.vanillaslip.internal.settings;

/**
 * Section {@code [routing]}.
 *
 * @param serverSpeed speeds of servers by which calls are distributed
 */
public record RoutingSettings(ServerSpeed serverSpeed) {}
