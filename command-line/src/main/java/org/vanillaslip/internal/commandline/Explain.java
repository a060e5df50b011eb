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
                "Shows the way of a request through saved logs of one or more hosts, what happened"
                        + " around it, and why it ended as it did")
public final class Explain extends OperatorCommand {

    private static final int HOST_STARTED = 100;

    @Arguments(
            title = {"REQUEST", "LOG..."},
            description = "Id of the request, and files with the output of daemons")
    @Required
    List<String> mArguments = new ArrayList<>();

    @Override
    Either<CommandFailure, CommandResult> run(CommandContext context) {
        if (mArguments.size() < 2) {
            return Either.left(Failures.usage("Name the request's id and at least one log."));
        }
        List<LogLine> lines = new ArrayList<>();
        for (String file : mArguments.subList(1, mArguments.size())) {
            try {
                lines.addAll(read(Path.of(file)));
            } catch (IOException | InvalidPathException unreadable) {
                return Either.left(Failures.unreadableFile(file));
            }
        }
        return RequestStory.of(mArguments.get(0), lines)
                .map(story -> Either.<CommandFailure, CommandResult>right(result(story)))
                .orElseGet(() -> Either.left(Failures.unknown("Request " + mArguments.get(0))));
    }

    private static List<LogLine> read(Path file) throws IOException {
        String source = String.valueOf(file.getFileName());
        List<LogLine> lines = new ArrayList<>();
        // A daemon that was killed may have left half a character at the end.
        String text = new String(Files.readAllBytes(file), StandardCharsets.UTF_8);
        for (String line : text.lines().toList()) {
            Optional<LogLine> parsed = LogLine.parse(line, source);
            if (parsed.isPresent()) {
                if (parsed.get().event() == HOST_STARTED && !parsed.get().field("host").isEmpty()) {
                    source = parsed.get().field("host");
                }
                lines.add(parsed.get());
            }
        }
        return lines;
    }

    private static CommandResult result(RequestStory story) {
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("cause", story.cause());
        var way = json.putArray("way");
        story.way().forEach(line -> way.add(event(line)));
        var around = json.putArray("around");
        story.around().forEach(line -> around.add(event(line)));
        return new CommandResult(story.lines(), json);
    }

    private static ObjectNode event(LogLine line) {
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
