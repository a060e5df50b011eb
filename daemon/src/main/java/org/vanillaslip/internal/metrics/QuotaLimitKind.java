package org.vanillaslip.internal.metrics;

/** Kinds of quota limits whose tokens hosts lend to each other. */
public enum QuotaLimitKind {
    WORKSPACE_RATE,
    OTHER;

    /**
     * Returns the kind of a limit by its name in quota requests, such as {@code workspace/name}.
     */
    public static QuotaLimitKind ofLimit(String limit) {
        return limit.startsWith("workspace/") ? WORKSPACE_RATE : OTHER;
    }
}
