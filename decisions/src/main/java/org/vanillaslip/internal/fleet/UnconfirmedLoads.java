package org.vanillaslip.internal.fleet;

/**
 * Upper bound of what orders of unknown outcome may load on an engine after it has accepted the
 * next order.
 *
 * @param megabytes memory that the loads would use
 * @param adapters number of adapter slots that the loads would use
 */
public record UnconfirmedLoads(double megabytes, int adapters) {

    /** The outcome of every order is known. */
    public static final UnconfirmedLoads NONE = new UnconfirmedLoads(0, 0);

    /** Returns the bound if both of the bounded loads may be executed. */
    UnconfirmedLoads plus(UnconfirmedLoads other) {
        return new UnconfirmedLoads(megabytes + other.megabytes, adapters + other.adapters);
    }

    /** Returns the bound if at most one of the bounded loads is executed. */
    UnconfirmedLoads max(UnconfirmedLoads other) {
        return new UnconfirmedLoads(
                Math.max(megabytes, other.megabytes), Math.max(adapters, other.adapters));
    }
}
