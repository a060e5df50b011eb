package org.vanillaslip.internal.placement;

/** Send an order of a recorded decision to its server. */
public record SendOrder(Order order) implements ShardAction {}
