package org.vanillaslip.internal.fleet;

/** What an order asks a model engine to do. */
public enum OrderKind {
    LOAD,
    UNLOAD
}
