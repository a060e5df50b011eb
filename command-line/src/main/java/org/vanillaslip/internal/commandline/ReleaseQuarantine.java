package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/** {@code vanillaslip quarantine release}. */
@Command(
        name = "release",
        description = "Lets a prompt part or call reach the servers again, at all hosts")
public final class ReleaseQuarantine extends QuarantineCommand {
    @Arguments(
            title = {"SUBJECT"},
            description = "Prompt part or call, as 'quarantine list' prints it")
    @Required
    String mSubject = "";

    @Override
    Either<CommandFailure, CommandResult> run(CommandContext context) {
        Optional<Boolean> released = context.quarantineClient().release(mHost, mSubject);
        if (released.isEmpty()) {
            return Either.left(CommandFailures.hostUnavailable(mHost));
        }
        return released.get()
                ? Either.right(
                        new CommandResult(
                                List.of("released " + mSubject),
                                JsonNodeFactory.instance.objectNode().put("released", mSubject)))
                : Either.left(CommandFailures.unknown(mSubject));
    }
}
