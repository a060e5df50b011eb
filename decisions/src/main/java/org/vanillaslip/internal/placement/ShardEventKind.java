package org.vanillaslip.internal.placement;

/** Kinds of logged decisions and outcomes. */
public enum ShardEventKind {
    LEASE_TAKEN,
    LEASE_LOST,
    LEASE_RELEASED,
    LOAD_DECIDED,
    UNLOAD_DECIDED,
    LOAD_CANCELLED,
    LOADED,
    LOAD_NOT_EXECUTED,
    UNLOAD_NOT_EXECUTED,
    /** The placement was removed, as the server was removed or no longer has the model. */
    GONE,
    /** A model that a server reported was added to the record. */
    ADOPTED
}
