package org.vanillaslip.internal.runtime;

import sun.misc.Signal;

/**
 * Handles the signal that requests a settings reload, which would otherwise terminate the process.
 */
final class ReloadSignal {

    private static final String SIGHUP = "HUP";

    private ReloadSignal() {}

    static void handle(Runnable reload) {
        Signal.handle(new Signal(SIGHUP), signal -> reload.run());
    }
}
