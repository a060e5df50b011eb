package org.vanillaslip.internal.placement;

/** The operation that an order requests from a server. */
public enum OrderAction {
    LOAD,
    UNLOAD,
    /** Raises the highest term that a server has seen; sent as an unload without a model. */
    FENCE,
    /**
     * Prevents the execution of a withdrawn offline load by using up its decision number, which a
     * server executes at most once; sent as an unload without a model.
     */
    VOID
}
