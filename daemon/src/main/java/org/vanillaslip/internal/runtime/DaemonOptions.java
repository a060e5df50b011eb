package org.vanillaslip.internal.runtime;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.jspecify.annotations.Nullable;

/** Command-line options of {@code vanillaslipd}. */
@Command(name = "vanillaslipd", description = "Serves callers on this host.")
public final class DaemonOptions {
    @AirlineModule HelpOption<DaemonOptions> mHelp = new HelpOption<>();

    @Option(
            name = {"--config"},
            title = "FILE",
            description = "Settings file, see docs/SETTINGS.md.")
    @Nullable String mConfig;

    @Option(
            name = {"--check-settings"},
            description = "Checks the settings file and starts nothing.")
    boolean mCheckSettings;
}
