package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** {@code vanillaslip quarantine list}. */
@Command(
        name = "list",
        description = "Lists prompt parts and calls that crashed servers and are kept from them")
public final class ListQuarantine extends QuarantineCommand {

    @Override
    Either<CommandFailure, CommandResult> run(CommandContext context) {
        Optional<JsonNode> list = context.quarantineClient().list(mHost);
        return list.isEmpty()
                ? Either.left(CommandFailures.hostUnavailable(mHost))
                : Either.right(toResult(list.get()));
    }

    private static CommandResult toResult(JsonNode list) {
        List<String> lines = new ArrayList<>();
        for (JsonNode entry : list.path("quarantined")) {
            lines.add(
                    entry.path("subject").asText()
                            + " remaining_ms="
                            + entry.path("remaining_millis").asLong());
        }
        return new CommandResult(List.copyOf(lines), list);
    }
}
