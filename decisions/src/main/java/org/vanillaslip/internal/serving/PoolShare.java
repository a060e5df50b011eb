package org.vanillaslip.internal.serving;

/**
 * One of the pools that a route sends its calls to.
 *
 * @param weight share of the calls, relative to the other pools of the route
 */
public record PoolShare(String pool, int weight) {}
