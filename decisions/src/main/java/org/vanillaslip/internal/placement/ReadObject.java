package org.vanillaslip.internal.placement;

/** Read the shard object. */
public record ReadObject() implements ShardAction {}
