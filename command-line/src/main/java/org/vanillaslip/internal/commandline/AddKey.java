package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;

/** {@code vanillaslip keys add}. */
@Command(name = "add", description = "Creates a key and prints it once; only its digest is stored")
public final class AddKey extends KeyCommand {
    @Arguments(title = "WORKSPACE", description = "Workspace that gets the key")
    @Required
    String mWorkspace = "";

    @Override
    Either<CommandFailure, CommandResult> run(CommandContext context) {
        String key = context.keyGenerator().get();
        String digest = Keys.digest(key);
        return updateDigests(context, mWorkspace, digest, true)
                .map(result -> withKey(result, key, digest))
                .mapLeft(failure -> withDigest(failure, digest));
    }

    private static CommandResult withKey(CommandResult result, String key, String digest) {
        List<String> lines = new ArrayList<>(result.lines());
        lines.add("digest " + digest);
        lines.add("key " + key);
        ObjectNode json = result.json().deepCopy();
        return new CommandResult(List.copyOf(lines), json.put("digest", digest).put("key", key));
    }

    /** Adds a digest that may have been stored to the details, so that it can be withdrawn. */
    private static CommandFailure withDigest(CommandFailure failure, String digest) {
        return failure.exitCode() == ExitCode.OUTCOME_UNKNOWN
                ? CommandFailures.withEarlierWrites(
                        failure, List.of("possibly the digest " + digest))
                : failure;
    }
}
