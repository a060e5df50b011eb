package org.vanillaslip.internal.quota;

/** A charge that can wait in a {@link ChargeLine}. */
public interface WaitingAmount {

    /** Returns the amount to charge. */
    long amount();

    /** Returns the time at which the charge stops waiting. */
    long waitUntil();
}
