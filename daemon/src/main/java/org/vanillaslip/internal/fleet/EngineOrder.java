package org.vanillaslip.internal.fleet;

import java.util.Optional;

/**
 * An order to a model engine.
 *
 * @param adapter empty for the model itself
 * @param expectedOrders orders that the engine must have accepted before, or it refuses this one
 * @param holder host that gives the order
 * @param term fencing number of the holder
 */
public record EngineOrder(
        OrderKind kind,
        String model,
        Optional<String> adapter,
        long expectedOrders,
        String holder,
        long term) {}
