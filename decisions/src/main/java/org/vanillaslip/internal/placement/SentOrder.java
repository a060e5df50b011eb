package org.vanillaslip.internal.placement;

/** An order and when it was sent. */
public record SentOrder(Order order, long sentNanos) {}
