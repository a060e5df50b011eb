package org.vanillaslip.internal.settings;

/**
 * Section {@code [log]}.
 *
 * @param level lowest severity that is logged
 */
public record LogSettings(LogFormat format, System.Logger.Level level) {}
