package org.vanillaslip.internal.placement;

/**
 * Lists the objects of all shards, because an allowance may be raised only after the other shards
 * have confirmed the configuration.
 */
public record ListShards() implements ShardAction {}
