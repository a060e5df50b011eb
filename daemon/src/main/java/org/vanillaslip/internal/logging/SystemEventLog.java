package org.vanillaslip.internal.logging;

import java.util.regex.Pattern;
import net.logstash.logback.argument.StructuredArguments;

/** Writes events to a {@link System.Logger}, with the number and all fields as named values. */
public final class SystemEventLog implements EventLog {
    /** Name of the logger for all events. */
    public static final String LOGGER_NAME = "org.vanillaslip";

    private static final Pattern CONTROL_CHARACTERS = Pattern.compile("\\p{Cntrl}");

    private final System.Logger mLogger;

    /** Creates an event log that writes to the given logger. */
    public SystemEventLog(System.Logger logger) {
        mLogger = logger;
    }

    @Override
    public void log(LogEvent event, LogField... fields) {
        if (!mLogger.isLoggable(event.level())) {
            return;
        }
        Object[] arguments = new Object[fields.length + 2];
        arguments[0] = event.text();
        arguments[1] = StructuredArguments.keyValue("event", event.number());
        for (int index = 0; index < fields.length; index++) {
            LogField field = fields[index];
            arguments[index + 2] =
                    StructuredArguments.keyValue(field.name(), sanitize(field.value()));
        }
        // The text is passed as an argument, so that braces in it are not parsed as placeholders.
        mLogger.log(event.level(), "{0}", arguments);
    }

    /** Replaces control characters, so that a value cannot forge a log line. */
    private static Object sanitize(Object value) {
        if (value instanceof Number || value instanceof Boolean) {
            return value;
        }
        return CONTROL_CHARACTERS.matcher(String.valueOf(value)).replaceAll("?");
    }
}
