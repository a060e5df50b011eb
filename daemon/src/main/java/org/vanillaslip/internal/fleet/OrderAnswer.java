package org.vanillaslip.internal.fleet;

/** Outcome of sending an order to a model engine. */
public enum OrderAnswer {
    /** The engine executes the order. */
    ACCEPTED,
    /** The engine is already in the state that the order requests. */
    ALREADY,
    /** The engine executes another order, or has accepted other orders in the meantime. */
    REFUSED,
    /** Another server answers at the address. */
    OTHER_SERVER,
    /** Not sent, because the permission ended before it could be written. */
    NOT_PERMITTED,
    /** No connection was made. */
    UNREACHED,
    /** No answer was received; the order may be executed now or later. */
    UNKNOWN
}
