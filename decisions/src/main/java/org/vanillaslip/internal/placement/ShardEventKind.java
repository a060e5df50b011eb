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
    GONE,
    ADOPTED
}
