package org.vanillaslip.internal.placement;

/** Log a decision or outcome. */
public record LogShardEvent(ShardEvent notice) implements ShardAction {}
