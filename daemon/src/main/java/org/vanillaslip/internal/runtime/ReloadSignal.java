package org.vanillaslip.internal.runtime;

import sun.misc.Signal;

/**
 * Handles the signal that requests a settings reload, which would otherwise terminate the process.
 */
final class ReloadSignal {

    private static final String SIGHUP = "HUP";

    private ReloadSignal() {}

    /** Ignores the signal until the settings have been read; they are current then. */
    static void ignore() {
        handle(() -> {});
    }

    static void handle(Runnable reload) {
        Signal.handle(new Signal(SIGHUP), signal -> reload.run());
    }
}
