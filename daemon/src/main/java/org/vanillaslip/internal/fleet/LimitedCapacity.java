package org.vanillaslip.internal.fleet;

/**
 * What servers that limit their requests can take of the calls of this host.
 *
 * @param nextTimeNanos time of the next send, or now if it is not yet known
 * @param perSecond sends per second after it, at most
 */
record LimitedCapacity(long nextTimeNanos, double perSecond) {

    /**
     * Returns the earliest time at which the call can be sent, after the given number of others.
     */
    long timeAfter(int calls) {
        return nextTimeNanos + (long) (calls / perSecond * 1e9);
    }
}
