package org.vanillaslip.internal.placement;

/** Reads the shard object. */
public record ReadObject() implements ShardAction {}
