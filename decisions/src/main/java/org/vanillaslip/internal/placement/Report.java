package org.vanillaslip.internal.placement;

/** Log a decision or outcome. */
public record Report(Notice notice) implements ShardAction {}
