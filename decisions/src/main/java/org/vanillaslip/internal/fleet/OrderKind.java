package org.vanillaslip.internal.fleet;

/** Operation that an order requests from a model engine. */
public enum OrderKind {
    LOAD,
    UNLOAD
}
