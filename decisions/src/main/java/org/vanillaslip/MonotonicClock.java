package org.vanillaslip;

/**
 * Source of monotonic time on this machine. Readings are only comparable with readings of the same
 * clock; they are never sent to another machine.
 */
@FunctionalInterface
public interface MonotonicClock {

    /** Returns nanoseconds since an arbitrary fixed origin; never decreases. */
    long nowNanos();
}
