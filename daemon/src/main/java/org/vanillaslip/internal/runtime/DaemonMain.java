package org.vanillaslip.internal.runtime;

import org.vanillaslip.internal.settings.SettingsReader;

/** Main class of {@code vanillaslipd}. */
public final class DaemonMain {

    private DaemonMain() {}

    /** Runs the daemon until it is stopped by a signal. */
    public static void main(String[] arguments) {
        DaemonCommand command =
                new DaemonCommand(
                        new SettingsReader(),
                        new ProcessStarter(Daemon::new),
                        System.out,
                        System.err);
        int exitCode = command.run(arguments);
        if (exitCode != 0) {
            System.exit(exitCode);
        }
    }
}
