package org.vanillaslip.internal.runtime;

import org.vanillaslip.internal.settings.SettingsReader;

/** Entry point of {@code vanillaslipd}. */
public final class DaemonMain {

    private DaemonMain() {}

    /** Runs the daemon until a termination signal stops it. */
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
