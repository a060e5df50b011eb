package org.vanillaslip.internal.metrics;

/** Kinds of limits whose tokens hosts lend each other. */
public enum QuotaLimit {
    WORKSPACE_RATE,
    WEIGHT_STORE_LOADS,
    WEIGHT_STORE_PARALLEL,
    ADAPTER_LOADS
}
