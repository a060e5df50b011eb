package org.vanillaslip.internal.placement;

/** Writes the shard object if it still has the expected version; version 0 creates it. */
public record WriteObject(long expectedVersion, ShardRecord record) implements ShardAction {}
