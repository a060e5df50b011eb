package org.vanillaslip.internal.commandline;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.vanillaslip.ItemName;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.configuration.Fault;
import org.vanillaslip.internal.platform.PlatformFailure;

/** Creates command failures whose messages state what happened, why, and what to do. */
final class CommandFailures {
    private CommandFailures() {}

    static CommandFailure usage(String message) {
        return new CommandFailure(
                ExitCode.INVALID,
                Optional.empty(),
                message + " Run 'vanillaslip --help' for help.",
                List.of());
    }

    static CommandFailure unreadableFile(String file) {
        return new CommandFailure(
                ExitCode.INVALID,
                Optional.empty(),
                "The file '" + file + "' cannot be read. Check its path and permissions.",
                List.of());
    }

    static CommandFailure unreadableContent(String file, String reason) {
        return new CommandFailure(
                ExitCode.INVALID,
                Optional.empty(),
                "The file '" + file + "' cannot be read. " + reason,
                List.of());
    }

    static CommandFailure invalid(List<Fault> faults) {
        return withResultCode(
                ExitCode.INVALID,
                ResultCode.INVALID_CONFIGURATION,
                faults.stream().map(CommandFailures::describeFault).toList());
    }

    static CommandFailure unknown(String name) {
        return withResultCode(
                ExitCode.INVALID, ResultCode.UNKNOWN_ITEM, List.of(name + " does not exist."));
    }

    static CommandFailure unknownKey(String workspace) {
        return withResultCode(
                ExitCode.INVALID,
                ResultCode.UNKNOWN_ITEM,
                List.of("Workspace '" + workspace + "' has no key with this digest."));
    }

    static CommandFailure conflict(ItemName name, long readVersion, String currentVersion) {
        return withResultCode(
                ExitCode.CONFLICT,
                ResultCode.VERSION_CONFLICT,
                List.of(
                        name.objectName()
                                + ": version "
                                + readVersion
                                + " was read, version "
                                + currentVersion
                                + " is stored now."));
    }

    static CommandFailure unavailable(PlatformFailure failure) {
        return new CommandFailure(
                ExitCode.UNAVAILABLE,
                Optional.empty(),
                "The call to the platform failed ("
                        + failure
                        + "). Check the address and try again.",
                List.of());
    }

    static CommandFailure outcomeUnknown(ItemName name, long readVersion) {
        return new CommandFailure(
                ExitCode.OUTCOME_UNKNOWN,
                Optional.empty(),
                "The platform's answer was lost; the change may have been applied."
                        + " Check the item before you repeat the command.",
                List.of(
                        name.objectName()
                                + ": version "
                                + readVersion
                                + " was read before the write."));
    }

    static CommandFailure hostUnavailable(String address) {
        return new CommandFailure(
                ExitCode.UNAVAILABLE,
                Optional.empty(),
                "The host at '"
                        + address
                        + "' did not answer. Check that the daemon is running there.",
                List.of());
    }

    /** Adds a detail for each change that was written before the failure. */
    static CommandFailure withEarlierWrites(CommandFailure failure, List<String> changes) {
        List<String> details = new ArrayList<>(failure.details());
        changes.forEach(change -> details.add("Written before the failure: " + change));
        return new CommandFailure(
                failure.exitCode(), failure.code(), failure.message(), List.copyOf(details));
    }

    private static CommandFailure withResultCode(
            ExitCode exitCode, ResultCode code, List<String> details) {
        return new CommandFailure(
                exitCode, Optional.of(code), code.cause() + " " + code.remedy(), details);
    }

    private static String describeFault(Fault fault) {
        return fault.item() + ": " + describe(fault);
    }

    /** Describes the rejected value without the item. */
    static String describe(Fault fault) {
        String field = fault.field().replaceFirst("^item\\.", "");
        return FieldNames.toSnakeCase(field)
                + " = '"
                + fault.value()
                + "': allowed is "
                + fault.allowed();
    }
}
