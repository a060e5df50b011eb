package org.vanillaslip.internal.metrics;

/** Kinds of limits whose tokens hosts lend each other. */
public enum QuotaLimitKind {
    WORKSPACE_RATE,
    OTHER;

    /** Returns the kind of a limit named in a quota request, such as {@code workspace/name}. */
    public static QuotaLimitKind ofLimit(String limit) {
        return limit.startsWith("workspace/") ? WORKSPACE_RATE : OTHER;
    }
}
