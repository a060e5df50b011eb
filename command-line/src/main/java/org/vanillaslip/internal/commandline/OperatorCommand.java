package org.vanillaslip.internal.commandline;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.internal.platform.ConfigurationCodec;

/** Base class of all commands, with the options that they share. */
abstract class OperatorCommand {
    @Option(
            name = {"--platform"},
            title = "ADDRESS",
            description = "ip:port of the platform's object API")
    @Nullable String mPlatform;

    @Option(
            name = {"--output"},
            title = "FORMAT",
            description = "text or json; text is the default")
    @AllowedRawValues(allowedValues = {"text", "json"})
    String mOutput = "text";

    @Option(
            name = {"-h", "--help"},
            description = "Shows help for the command")
    boolean mHelp;

    /** Runs the command and returns its output or the reason why it failed. */
    abstract Either<CommandFailure, CommandResult> run(CommandContext context);

    boolean printsJson() {
        return mOutput.equals("json");
    }

    /** Creates a client of the platform that {@code --platform} names. */
    Either<CommandFailure, ConfigurationClient> connect(CommandContext context) {
        if (mPlatform == null) {
            return Either.left(CommandFailures.usage("The option --platform ADDRESS is missing."));
        }
        return Either.right(
                new ConfigurationClient(
                        context.storeFactory().apply(mPlatform), new ConfigurationCodec()));
    }

    /** Reads the configuration that is stored on the platform. */
    Either<CommandFailure, StoredConfiguration> loadConfiguration(CommandContext context) {
        return connect(context).flatMap(ConfigurationClient::load);
    }
}
