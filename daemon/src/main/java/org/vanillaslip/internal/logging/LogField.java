package org.vanillaslip.internal.logging;

/** A named value of a log event. Values must never contain the keys of callers. */
public record LogField(String name, Object value) {

    /** Creates a field. */
    public static LogField field(String name, Object value) {
        return new LogField(name, value);
    }
}
