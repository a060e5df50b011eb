package org.vanillaslip.internal.fleet;

/** Answer of a model engine to an order. */
public enum OrderAnswer {
    /** The order is being carried out. */
    ACCEPTED,
    /** What the order asks for holds already. */
    ALREADY,
    /** Another order is being carried out, or the engine has accepted other orders since. */
    REFUSED,
    /** Another server answers at the address. */
    OTHER_SERVER,
    /** No connection was made. */
    UNREACHED,
    /** No answer came; the order may be carried out now or later. */
    UNKNOWN
}
