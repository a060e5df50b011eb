package org.vanillaslip.internal.logging;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Rows of the table in {@code docs/LOG-EVENTS.md}, collected from the compiled classes. */
public final class LogEventsTable {
    private LogEventsTable() {}

    /** Returns the constants of all enums of the daemon that implement {@link LogEvent}. */
    public static List<LogEvent> events() {
        try (Stream<Path> files = Files.walk(classes())) {
            return files.filter(file -> file.toString().endsWith(".class"))
                    .filter(file -> !file.toString().endsWith("package-info.class"))
                    .map(LogEventsTable::load)
                    .filter(Class::isEnum)
                    .filter(LogEvent.class::isAssignableFrom)
                    .flatMap(type -> Stream.of(type.getEnumConstants()))
                    .map(LogEvent.class::cast)
                    .sorted(Comparator.comparingInt(LogEvent::number))
                    .toList();
        } catch (IOException exception) {
            throw new IllegalStateException("The compiled classes cannot be read.", exception);
        }
    }

    /** Returns one row per event: number, name, level, text. */
    public static List<List<String>> rows() {
        return events().stream()
                .map(
                        event ->
                                List.of(
                                        Integer.toString(event.number()),
                                        "`" + ((Enum<?>) event).name() + "`",
                                        event.level().name(),
                                        event.text()))
                .toList();
    }

    private static Class<?> load(Path file) {
        String name = classes().relativize(file).toString().replace('/', '.');
        try {
            return Class.forName(
                    name.substring(0, name.length() - ".class".length()),
                    false,
                    LogEvent.class.getClassLoader());
        } catch (ClassNotFoundException exception) {
            throw new IllegalStateException(file + " cannot be loaded.", exception);
        }
    }

    private static Path classes() {
        try {
            return Path.of(
                    LogEvent.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        } catch (URISyntaxException exception) {
            throw new IllegalStateException("The compiled classes cannot be found.", exception);
        }
    }
}
