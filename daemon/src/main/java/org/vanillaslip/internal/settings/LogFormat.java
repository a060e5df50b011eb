package org.vanillaslip.internal.settings;

/** Format of log lines. */
public enum LogFormat {
    /** One line of text with {@code name=value} fields. */
    PLAIN,
    /** One JSON object per line. */
    JSON
}
