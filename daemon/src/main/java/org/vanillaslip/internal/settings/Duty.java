package org.vanillaslip.internal.settings;

/** A task that one host at a time has towards the platform. */
public enum Duty {
    /** Reports the usage of each workspace. */
    USAGE_REPORT,
    /** Orders the number of backend servers. */
    AUTOSCALE
}
