package org.vanillaslip.internal.settings;

/**
 * Section {@code [log]}.
 *
 * @param level least severe level that is written
 */
public record LogSettings(LogFormat format, System.Logger.Level level) {}
