package org.vanillaslip.internal.runtime;

import org.vanillaslip.internal.settings.Settings;

/** Starts the daemon and returns after it has stopped. */
@FunctionalInterface
public interface DaemonStarter {

    /** Runs until the daemon is stopped and returns the exit code. */
    int run(Settings settings);
}
