package org.vanillaslip.internal.fleet;

import java.util.Optional;

/**
 * An order to a model engine to load or unload a model or adapter.
 *
 * @param adapter empty if the order is for the model itself
 * @param expectedOrders number of orders that the engine must have accepted before, otherwise it
 *     refuses this one
 * @param holder host that sends the order and holds the lease
 * @param term fencing number of the lease
 */
public record EngineOrder(
        OrderKind kind,
        String model,
        Optional<String> adapter,
        long expectedOrders,
        String holder,
        long term) {}
