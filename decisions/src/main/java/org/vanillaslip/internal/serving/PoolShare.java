package org.vanillaslip.internal.serving;

/**
 * A pool that receives calls of a route.
 *
 * @param weight weight of the pool relative to the other pools of the route
 */
public record PoolShare(String pool, int weight) {}
