package org.vanillaslip.internal.settings;

/** How a log line is written. */
public enum LogFormat {
    /** One line of text with {@code name=value} fields. */
    PLAIN,
    /** One JSON object per line. */
    JSON
}
