package org.vanillaslip.internal.gateway;

/** The right to run one request on a backend server. */
@FunctionalInterface
public interface Slot {

    /** Releases the slot. Later calls have no effect. */
    void release();
}
