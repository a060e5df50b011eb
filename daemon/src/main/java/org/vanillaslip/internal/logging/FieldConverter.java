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
                .map(Object::toString)
                .collect(Collectors.joining(" "));
    }
}
