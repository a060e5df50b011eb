package org.vanillaslip.internal.placement;

/** What an order asks of a server. */
public enum OrderAction {
    LOAD,
    UNLOAD,
    /** Raises the highest term that a server has seen; sent as the unload of no model. */
    FENCE,
    /**
     * Uses up the number of a withdrawn offline load, which a server executes at most once; sent as
     * the unload of no model.
     */
    VOID
}
