package org.vanillaslip.internal.commandline;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;

/** {@code vanillaslip keys withdraw}. */
@Command(
        name = "withdraw",
        description = "Withdraws a key, which is given as the key or its digest")
public final class WithdrawKey extends KeyCommand {
    @Arguments(
            title = {"WORKSPACE", "DIGEST-OR-KEY"},
            description = "Workspace that holds the key, and the key or its digest")
    @Required
    List<String> mArguments = new ArrayList<>();

    @Override
    Either<CommandFailure, CommandResult> run(CommandContext context) {
        if (mArguments.size() != 2) {
            return Either.left(
                    CommandFailures.usage("Specify a workspace, and a key or its digest."));
        }
        String keyOrDigest = mArguments.get(1);
        String digest = Keys.isDigest(keyOrDigest) ? keyOrDigest : Keys.digest(keyOrDigest);
        return updateDigests(context, mArguments.get(0), digest, false);
    }
}
