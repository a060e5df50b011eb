package org.vanillaslip.internal.configuration;

/** Why a valid configuration is probably not what its author wants. */
public enum FindingKind {
    /** No call can ever use the item. */
    NEVER_USED,
    /** Two values of the configuration exclude each other. */
    CONTRADICTION
}
