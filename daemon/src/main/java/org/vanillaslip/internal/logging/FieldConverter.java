package org.vanillaslip.internal.logging;

import ch.qos.logback.classic.pattern.ClassicConverter;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.Arrays;
import java.util.stream.Collectors;
import net.logstash.logback.argument.StructuredArgument;

/** Writes the fields of an event as {@code name=value}. */
public final class FieldConverter extends ClassicConverter {

    @Override
    public String convert(ILoggingEvent event) {
        Object[] arguments = event.getArgumentArray();
        if (arguments == null) {
            return "";
        }
        return Arrays.stream(arguments)
                .filter(StructuredArgument.class::isInstance)
                .map(argument -> quote(argument.toString()))
                .collect(Collectors.joining(" "));
    }

    /**
     * Quotes values with spaces or quotes, so that a value cannot be mistaken for another field.
     */
    private static String quote(String field) {
        int valueStart = field.indexOf('=') + 1;
        String text = field.substring(valueStart);
        if (text.indexOf(' ') < 0 && text.indexOf('"') < 0) {
            return field;
        }
        String escaped = text.replace("\\", "\\\\").replace("\"", "\\\"");
        return field.substring(0, valueStart) + '"' + escaped + '"';
    }
}
