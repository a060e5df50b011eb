package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One event of a saved log, which is in the plain or the JSON format of the daemon.
 *
 * @param source host that wrote the line, or the file name if the host is unknown
 * @param event event number from {@code docs/LOG-EVENTS.md}
 * @param fields all named values except the event number
 */
record LogLine(Instant time, String source, int event, String text, Map<String, String> fields) {

    private static final ObjectMapper JSON = new ObjectMapper();

    private static final Pattern TIME =
            Pattern.compile(
                    "(\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d+(?:Z|[+-]\\d\\d:\\d\\d))");

    private static final Pattern FIELD = Pattern.compile("(\\w+)=(?:\"([^\"]*)\"|(\\S*))");

    /** Returns the event in the line, or empty if it has none, such as a line of a stack trace. */
    static Optional<LogLine> parse(String line, String source) {
        return line.startsWith("{") ? parseJson(line, source) : parsePlain(line, source);
    }

    String field(String name) {
        return fields.getOrDefault(name, "");
    }

    private static Optional<LogLine> parsePlain(String line, String source) {
        Matcher time = TIME.matcher(line);
        int fieldsStart = line.indexOf(" event=");
        if (!time.find() || fieldsStart < time.end()) {
            return Optional.empty();
        }
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher field = FIELD.matcher(line.substring(fieldsStart));
        while (field.find()) {
            fields.put(field.group(1), field.group(2) == null ? field.group(3) : field.group(2));
        }
        String[] words = line.substring(time.end(), fieldsStart).strip().split("\\s+", 3);
        return create(time.group(1), source, words[words.length - 1], fields);
    }

    private static Optional<LogLine> parseJson(String line, String source) {
        try {
            JsonNode node = JSON.readTree(line);
            Map<String, String> fields = new LinkedHashMap<>();
            node.fields().forEachRemaining(entry -> fields.put(entry.getKey(), valueText(entry)));
            return create(
                    fields.getOrDefault("@timestamp", ""),
                    source,
                    fields.getOrDefault("message", ""),
                    fields);
        } catch (JsonProcessingException exception) {
            return Optional.empty();
        }
    }

    private static String valueText(Map.Entry<String, JsonNode> entry) {
        return entry.getValue().isValueNode()
                ? entry.getValue().asText()
                : entry.getValue().toString();
    }

    private static Optional<LogLine> create(
            String time, String source, String text, Map<String, String> fields) {
        try {
            int event = Integer.parseInt(fields.getOrDefault("event", ""));
            fields.remove("event");
            return Optional.of(
                    new LogLine(
                            OffsetDateTime.parse(time).toInstant(), source, event, text, fields));
        } catch (DateTimeException | NumberFormatException exception) {
            return Optional.empty();
        }
    }
}
