package org.vanillaslip.internal.runtime;

import sun.misc.Signal;

/**
 * The signal that asks a daemon to read its settings again; by default it would end the process.
 */
final class ReloadSignal {

    private static final String SIGHUP = "HUP";

    private ReloadSignal() {}

    static void handle(Runnable reload) {
        Signal.handle(new Signal(SIGHUP), signal -> reload.run());
    }
}
