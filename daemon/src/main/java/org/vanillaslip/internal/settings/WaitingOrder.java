package org.vanillaslip.internal.settings;

/** Order in which waiting pass-through calls get servers. */
public enum WaitingOrder {
    /** By priority and age, for each model by itself. */
    AGE,
    /** By rank over all models of a pool, where the configuration names several priorities. */
    RANK
}
