package org.vanillaslip.internal.quota;

/** A charge that can wait in a {@link ChargeQueue}. */
public interface QueueableCharge {

    /** Returns the amount to charge. */
    long amount();

    /** Returns the time after which the charge no longer waits. */
    long waitDeadlineNanos();
}
