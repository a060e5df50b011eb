package org.vanillaslip.internal.runtime;

/** A daemon that can be started once and shut down gracefully. */
public interface RunningDaemon {

    /** Starts all components; fails if an address is not available. */
    void start();

    /** Shuts down gracefully within the shutdown timeout. */
    void stop();
}
