package org.vanillaslip.internal.gateway;

/** The right to run one request on a backend server. */
@FunctionalInterface
public interface Slot {

    /** Gives the slot back; calls after the first have no effect. */
    void release();
}
