package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** {@code vanillaslip explain}. */
@Command(
        name = "explain",
        description =
                "Shows the events of a request in the saved logs of one or more hosts, related"
                        + " events, and the cause of the outcome")
public final class Explain extends OperatorCommand {

    private static final int DAEMON_STARTING = 100;

    @Arguments(
            title = {"REQUEST", "LOG..."},
            description = "Id of the request, and log files of daemons")
    @Required
    List<String> mArguments = new ArrayList<>();

    @Override
    Either<CommandFailure, CommandResult> run(CommandContext context) {
        if (mArguments.size() < 2) {
            return Either.left(
                    CommandFailures.usage(
                            "Specify the id of the request and at least one log file."));
        }
        List<LogLine> lines = new ArrayList<>();
        for (String file : mArguments.subList(1, mArguments.size())) {
            try {
                lines.addAll(readEvents(Path.of(file)));
            } catch (IOException | InvalidPathException exception) {
                return Either.left(CommandFailures.unreadableFile(file));
            }
        }
        return RequestTimeline.of(mArguments.get(0), lines)
                .map(timeline -> Either.<CommandFailure, CommandResult>right(toResult(timeline)))
                .orElseGet(
                        () -> Either.left(CommandFailures.unknown("Request " + mArguments.get(0))));
    }

    private static List<LogLine> readEvents(Path file) throws IOException {
        String source = String.valueOf(file.getFileName());
        List<LogLine> lines = new ArrayList<>();
        // Unlike Files.readString, this accepts the incomplete character that a killed daemon may
        // have left at the end.
        String text = new String(Files.readAllBytes(file), StandardCharsets.UTF_8);
        for (String line : text.lines().toList()) {
            Optional<LogLine> parsed = LogLine.parse(line, source);
            if (parsed.isPresent()) {
                if (parsed.get().event() == DAEMON_STARTING
                        && !parsed.get().field("host").isEmpty()) {
                    source = parsed.get().field("host");
                }
                lines.add(parsed.get());
            }
        }
        return lines;
    }

    private static CommandResult toResult(RequestTimeline timeline) {
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("cause", timeline.cause());
        var requestEvents = json.putArray("way");
        timeline.requestEvents().forEach(line -> requestEvents.add(toJson(line)));
        var relatedEvents = json.putArray("around");
        timeline.relatedEvents().forEach(line -> relatedEvents.add(toJson(line)));
        return new CommandResult(timeline.lines(), json);
    }

    private static ObjectNode toJson(LogLine line) {
        ObjectNode event =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("time", line.time().toString())
                        .put("host", line.source())
                        .put("event", line.event())
                        .put("text", line.text());
        ObjectNode fields = event.putObject("fields");
        line.fields().forEach(fields::put);
        return event;
    }
}
