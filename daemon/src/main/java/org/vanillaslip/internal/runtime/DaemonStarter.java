package org.vanillaslip.internal.runtime;

import org.vanillaslip.internal.settings.Settings;

/** Starts the daemon and waits until it has stopped. */
@FunctionalInterface
public interface DaemonStarter {

    /** Runs the daemon until it has stopped and returns the exit code of the process. */
    int run(Settings settings);
}
