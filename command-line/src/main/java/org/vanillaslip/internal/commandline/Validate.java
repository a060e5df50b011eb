package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.util.List;
import org.vanillaslip.internal.configuration.ConfigurationValidator;

/** {@code vanillaslip validate}. */
@Command(
        name = "validate",
        description =
                "Checks a list file, together with the stored items if --platform is given;"
                        + " writes nothing")
public final class Validate extends OperatorCommand {
    @Arguments(title = "FILE", description = "JSON file with lists of items")
    @Required
    String mFile = "";

    @Override
    Either<CommandFailure, CommandResult> run(CommandContext context) {
        return InputFile.read(mFile)
                .flatMap(
                        file ->
                                loadBaseConfiguration(context)
                                        .flatMap(stored -> check(file, stored)));
    }

    private Either<CommandFailure, StoredConfiguration> loadBaseConfiguration(
            CommandContext context) {
        return mPlatform == null
                ? Either.right(StoredConfiguration.empty())
                : loadConfiguration(context);
    }

    private static Either<CommandFailure, CommandResult> check(
            ListFile file, StoredConfiguration stored) {
        return InputFile.items(file, stored)
                .flatMap(
                        requested ->
                                new ChangeCalculator(new ConfigurationValidator())
                                        .calculate(stored, requested)
                                        .mapLeft(CommandFailures::invalid))
                .map(changes -> toResult(file.entries().size(), changes.size()));
    }

    private static CommandResult toResult(int items, int changes) {
        return new CommandResult(
                List.of("valid: " + items + " items, " + changes + " differ from the stored ones"),
                JsonNodeFactory.instance
                        .objectNode()
                        .put("valid", true)
                        .put("items", items)
                        .put("changes", changes));
    }
}
