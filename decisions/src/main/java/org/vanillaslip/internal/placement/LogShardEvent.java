package org.vanillaslip.internal.placement;

/** Logs a decision or outcome. */
public record LogShardEvent(ShardEvent event) implements ShardAction {}
