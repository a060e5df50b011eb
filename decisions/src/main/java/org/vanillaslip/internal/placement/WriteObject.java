package org.vanillaslip.internal.placement;

/** Write the shard object if it still has the expected version; 0 creates it. */
public record WriteObject(long expectedVersion, ShardRecord record) implements ShardAction {}
