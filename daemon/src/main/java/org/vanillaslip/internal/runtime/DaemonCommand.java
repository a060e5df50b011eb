package org.vanillaslip.internal.runtime;

import static org.vanillaslip.internal.logging.LogField.field;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LifecycleEvent;
import org.vanillaslip.internal.logging.LogOutput;
import org.vanillaslip.internal.logging.SystemEventLog;
import org.vanillaslip.internal.settings.LogFormat;
import org.vanillaslip.internal.settings.LogSettings;
import org.vanillaslip.internal.settings.Settings;
import org.vanillaslip.internal.settings.SettingsFault;
import org.vanillaslip.internal.settings.SettingsReader;

/** The {@code vanillaslipd} command: validates all settings, then starts the daemon. */
public final class DaemonCommand {
    /** Exit code for invalid options or settings. */
    public static final int EXIT_USAGE = 2;

    private static final LogSettings INITIAL_LOG_SETTINGS =
            new LogSettings(LogFormat.PLAIN, System.Logger.Level.WARNING);

    private final SettingsReader mReader;
    private final DaemonStarter mDaemonStarter;
    private final PrintStream mOutput;
    private final PrintStream mErrorOutput;

    /** Creates the command with its standard and error output. */
    public DaemonCommand(
            SettingsReader reader,
            DaemonStarter starter,
            PrintStream output,
            PrintStream errorOutput) {
        mReader = reader;
        mDaemonStarter = starter;
        mOutput = output;
        mErrorOutput = errorOutput;
    }

    /** Runs the command and returns the exit code. */
    public int run(String... arguments) {
        // Before anything that takes time: a reload is requested at any moment.
        ReloadSignal.ignore();
        LogOutput.configure(INITIAL_LOG_SETTINGS, mErrorOutput);
        SingleCommand<DaemonOptions> command = SingleCommand.singleCommand(DaemonOptions.class);
        try {
            DaemonOptions options = command.parse(arguments);
            if (options.mHelp.help) {
                Help.help(command.getCommandMetadata(), mOutput);
                return 0;
            }
            return options.mConfig == null
                    ? reportUsageError("Option --config FILE is missing.")
                    : run(Path.of(options.mConfig), options.mCheckSettings);
        } catch (ParseException exception) {
            return reportUsageError(String.valueOf(exception.getMessage()));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private int run(Path file, boolean checkOnly) {
        Either<List<SettingsFault>, Settings> result = mReader.read(file);
        if (result.isLeft()) {
            return reportInvalidSettings(file, result.getLeft());
        }
        if (checkOnly) {
            mOutput.println(LifecycleEvent.SETTINGS_VALID.text() + " file=" + file);
            return 0;
        }
        LogOutput.configure(result.get().log(), mOutput);
        return mDaemonStarter.run(result.get());
    }

    private int reportInvalidSettings(Path file, List<SettingsFault> faults) {
        ResultCode code = ResultCode.INVALID_SETTINGS;
        mErrorOutput.println(code.number() + " " + code.cause() + " " + code.remedy());
        faults.forEach(fault -> mErrorOutput.println("  " + fault.toLine()));
        EventLog log = new SystemEventLog(System.getLogger(SystemEventLog.LOGGER_NAME));
        log.log(
                LifecycleEvent.SETTINGS_INVALID,
                field("file", file),
                field("faults", faults.size()));
        return EXIT_USAGE;
    }

    private int reportUsageError(String cause) {
        mErrorOutput.println(cause + " 'vanillaslipd --help' lists the options.");
        return EXIT_USAGE;
    }
}
