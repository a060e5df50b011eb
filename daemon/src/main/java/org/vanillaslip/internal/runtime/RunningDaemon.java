package org.vanillaslip.internal.runtime;

/** A daemon that can be started once and stopped as planned. */
public interface RunningDaemon {

    /** Starts all parts; fails when an address is not available. */
    void start();

    /** Stops as planned, within the shutdown timeout. */
    void stop();
}
