package org.vanillaslip.internal.logging;

/** A named value that goes with a log event. Values never contain keys of callers. */
public record LogField(String name, Object value) {

    /** Creates a field. */
    public static LogField field(String name, Object value) {
        return new LogField(name, value);
    }
}
