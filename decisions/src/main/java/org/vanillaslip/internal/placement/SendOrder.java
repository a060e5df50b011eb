package org.vanillaslip.internal.placement;

/** Sends the order of a recorded decision to its server. */
public record SendOrder(Order order) implements ShardAction {}
