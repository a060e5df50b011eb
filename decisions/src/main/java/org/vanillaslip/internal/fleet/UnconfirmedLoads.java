package org.vanillaslip.internal.fleet;

/**
 * What orders of unknown outcome may load on an engine once it has accepted the next order.
 *
 * @param megabytes memory that they would take
 * @param adapters adapter places that they would take
 */
public record UnconfirmedLoads(double megabytes, int adapters) {

    /** Every order that was sent is known to be done or refused. */
    public static final UnconfirmedLoads NONE = new UnconfirmedLoads(0, 0);

    /** Returns what both may load. */
    UnconfirmedLoads plus(UnconfirmedLoads other) {
        return new UnconfirmedLoads(megabytes + other.megabytes, adapters + other.adapters);
    }

    /** Returns the larger of both in each respect. */
    UnconfirmedLoads max(UnconfirmedLoads other) {
        return new UnconfirmedLoads(
                Math.max(megabytes, other.megabytes), Math.max(adapters, other.adapters));
    }
}
