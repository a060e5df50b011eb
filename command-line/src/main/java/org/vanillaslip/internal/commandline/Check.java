package org.vanillaslip.internal.commandline;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.ItemName;
import org.vanillaslip.internal.configuration.ConfigurationReview;
import org.vanillaslip.internal.configuration.ConfigurationValidator;
import org.vanillaslip.internal.configuration.Fault;
import org.vanillaslip.internal.configuration.Finding;
import org.vanillaslip.internal.platform.DeploymentConfigurationCheck;

/** {@code vanillaslip check}. */
@Command(
        name = "check",
        description =
                "Lists errors, entries that no call can use and contradicting limits of a list"
                        + " file or of the platform's configuration, and with --platform or"
                        + " --against what differs from the version in force; writes nothing")
public final class Check extends OperatorCommand {
    @Arguments(
            title = "FILE",
            description = "JSON file with lists of items, or with the platform's configuration")
    @Required
    String mFile = "";

    @Option(
            name = {"--against"},
            title = "OTHER",
            description = "file with the platform's configuration that is compared with FILE")
    @Nullable String mAgainst;

    @Override
    Either<CommandFailure, CommandResult> run(CommandContext context) {
        if (mAgainst != null && mPlatform != null) {
            return Either.left(
                    CommandFailures.usage("Only one of --against and --platform is possible."));
        }
        return InputFile.text(mFile).flatMap(text -> checkText(context, text));
    }

    private Either<CommandFailure, CommandResult> checkText(CommandContext context, String text) {
        Optional<DeploymentConfigurationCheck> deploymentCheck =
                context.deploymentCheck().filter(check -> check.recognizes(text));
        if (deploymentCheck.isPresent()) {
            return new DeploymentFileCheck(deploymentCheck.get(), mFile, text)
                    .run(Optional.ofNullable(mAgainst), Optional.ofNullable(mPlatform));
        }
        if (mAgainst != null) {
            return Either.left(
                    CommandFailures.usage(
                            "The option --against is for files of the platform's configuration."));
        }
        return InputFile.parse(text)
                .flatMap(file -> loadInForce(context).map(stored -> check(file, stored)));
    }

    private Either<CommandFailure, StoredConfiguration> loadInForce(CommandContext context) {
        return mPlatform == null
                ? Either.right(StoredConfiguration.empty())
                : loadConfiguration(context);
    }

    private CommandResult check(ListFile file, StoredConfiguration inForce) {
        CheckTable table = new CheckTable();
        InputFile.convert(file, inForce)
                .peekLeft(faults -> addFaults(table, faults))
                .peek(requested -> addFindings(table, inForce, requested));
        return table.toResult();
    }

    private void addFindings(
            CheckTable table,
            StoredConfiguration inForce,
            Map<ItemName, Optional<ConfigurationItem>> requested) {
        ChangeCalculator calculator = new ChangeCalculator(new ConfigurationValidator());
        calculator
                .configurationAfter(inForce, requested)
                .peekLeft(faults -> addFaults(table, faults))
                .peek(
                        configuration -> {
                            for (Finding finding : ConfigurationReview.review(configuration)) {
                                table.addFault(nameOf(finding), finding.item(), finding.text());
                            }
                        });
        if (mPlatform != null) {
            calculator
                    .changes(inForce, requested)
                    .forEach(change -> table.addDifference(change, inForce));
        }
    }

    private static void addFaults(CheckTable table, List<Fault> faults) {
        faults.forEach(
                fault -> table.addFault("error", fault.item(), CommandFailures.describe(fault)));
    }

    private static String nameOf(Finding finding) {
        return switch (finding.kind()) {
            case NEVER_USED -> "never used";
            case CONTRADICTION -> "contradiction";
        };
    }
}
