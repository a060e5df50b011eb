package org.vanillaslip.internal.commandline;

import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.vanillaslip.internal.platform.ConfigurationFinding;
import org.vanillaslip.internal.platform.DeploymentConfigurationCheck;
import org.vanillaslip.internal.platform.PlatformFailure;

/** Checks a file with the configuration of the deployment's platform. */
final class DeploymentFileCheck {

    /** The configuration of a platform that has none yet. */
    private static final String NOTHING_IN_FORCE = "{}";

    private final DeploymentConfigurationCheck mCheck;
    private final String mFile;
    private final String mText;

    DeploymentFileCheck(DeploymentConfigurationCheck check, String file, String text) {
        mCheck = check;
        mFile = file;
        mText = text;
    }

    /**
     * Lists the faults, and the differences from a file or from the version in the store at an
     * address. Faults are also listed if the other version cannot be read.
     */
    Either<CommandFailure, CommandResult> run(Optional<String> against, Optional<String> address) {
        return mCheck.faults(mText)
                .mapLeft(reason -> CommandFailures.unreadableContent(mFile, reason))
                .map(faults -> compare(faults, against, address));
    }

    private CommandResult compare(
            List<ConfigurationFinding> faults, Optional<String> against, Optional<String> address) {
        CheckTable table = new CheckTable();
        faults.forEach(table::add);
        Optional<Either<String, String>> other =
                against.map(this::readFile).or(() -> address.map(this::readStore));
        if (other.isEmpty()) {
            return table.toResult(ExitCode.FAULTS);
        }
        return other.get()
                .flatMap(inForce -> mCheck.differences(inForce, mText))
                .peek(findings -> findings.forEach(table::add))
                .fold(table::toIncompleteResult, findings -> table.toResult(ExitCode.FAULTS));
    }

    private Either<String, String> readFile(String file) {
        return InputFile.text(file)
                .mapLeft(CommandFailure::message)
                .filterOrElse(
                        mCheck::recognizes,
                        text -> "The file '" + file + "' is no configuration of the platform.");
    }

    private Either<String, String> readStore(String address) {
        Either<PlatformFailure, String> result =
                Objects.requireNonNull(
                        mCheck.readInForce(address).block(),
                        "The platform call completed without a result.");
        if (result.isLeft() && result.getLeft() == PlatformFailure.NOT_FOUND) {
            return Either.right(NOTHING_IN_FORCE);
        }
        return result.mapLeft(failure -> CommandFailures.unavailable(failure).message());
    }
}
