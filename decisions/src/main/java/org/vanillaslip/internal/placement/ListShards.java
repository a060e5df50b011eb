package org.vanillaslip.internal.placement;

/** List the objects of all shards, because an allowance may grow only after the others agree. */
public record ListShards() implements ShardAction {}
