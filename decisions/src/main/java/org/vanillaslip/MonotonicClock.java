package org.vanillaslip;

/**
 * Monotonic time of this machine. Readings can only be compared with other readings of the same
 * clock, so they are never sent to another machine.
 */
@FunctionalInterface
public interface MonotonicClock {

    /** Returns the nanoseconds since an arbitrary but fixed origin; the value never decreases. */
    long nowNanos();
}
