package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;

/** Parses the arguments, runs the command and prints its result. */
final class CommandLine {
    private final Cli<OperatorCommand> mCli = Commands.cli();
    private final CommandContext mContext;
    private final PrintStream mOutput;
    private final PrintStream mErrors;

    CommandLine(CommandContext context, PrintStream output, PrintStream errors) {
        mContext = context;
        mOutput = output;
        mErrors = errors;
    }

    /** Runs one command and returns the exit code. */
    int run(String... arguments) {
        List<String> argumentList = Arrays.asList(arguments);
        if (argumentList.isEmpty()
                || argumentList.contains("--help")
                || argumentList.contains("-h")) {
            return printHelp(argumentList);
        }
        try {
            OperatorCommand command = mCli.parse(arguments);
            return printOutcome(command.run(mContext), command.printsJson()).number();
        } catch (ParseException exception) {
            String message = String.valueOf(exception.getMessage());
            return printFailure(CommandFailures.usage(message + "."), false).number();
        }
    }

    /** Prints the help for the command, the group or the program that the arguments name. */
    private int printHelp(List<String> argumentList) {
        List<String> command = Commands.commandPath(mCli.getMetadata(), argumentList);
        try {
            Help.help(mCli.getMetadata(), command, mOutput);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        boolean requested = !argumentList.isEmpty();
        return (requested ? ExitCode.OK : ExitCode.INVALID).number();
    }

    private ExitCode printOutcome(Either<CommandFailure, CommandResult> outcome, boolean json) {
        if (outcome.isLeft()) {
            return printFailure(outcome.getLeft(), json);
        }
        if (json) {
            mOutput.println(outcome.get().json().toPrettyString());
        } else {
            outcome.get().lines().forEach(mOutput::println);
        }
        return outcome.get().exitCode();
    }

    private ExitCode printFailure(CommandFailure failure, boolean json) {
        if (json) {
            mErrors.println(toJson(failure).toPrettyString());
        } else {
            String number = failure.code().map(code -> code.number() + " ").orElse("");
            mErrors.println(number + failure.message());
            failure.details().forEach(detail -> mErrors.println("  " + detail));
        }
        return failure.exitCode();
    }

    private static ObjectNode toJson(CommandFailure failure) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("exit_code", failure.exitCode().number());
        failure.code().ifPresent(code -> node.put("code", code.number()).put("name", code.name()));
        node.put("message", failure.message());
        failure.details().forEach(node.putArray("details")::add);
        return node;
    }
}
