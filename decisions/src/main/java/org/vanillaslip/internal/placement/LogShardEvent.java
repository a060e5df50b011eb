package org.vanillaslip.internal.placement;

/** Log a decision or outcome. */
public record LogShardEvent(ShardEvent event) implements ShardAction {}
