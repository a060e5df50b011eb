package org.vanillaslip.internal.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What a server holds after an order. */
public final class ModelStateChanges {

    private ModelStateChanges() {}

    /** Returns the stock once the server has accepted the order: a load is not finished then. */
    public static ServerModelState afterAcceptance(ServerModelState stock, PlannedOrder order) {
        ServerModelState changed =
                order.kind() == OrderKind.UNLOAD ? afterCompletion(stock, order) : stock;
        return new ServerModelState(
                changed.orderCount(), true, changed.loaded(), changed.inMemory(), changed.onDisk());
    }

    /** Returns the stock once the order is done. */
    public static ServerModelState afterCompletion(ServerModelState stock, PlannedOrder order) {
        Map<String, Set<String>> loaded = new HashMap<>(stock.loaded());
        if (order.adapter().isPresent()) {
            Set<String> adapters = new HashSet<>(loaded.getOrDefault(order.model(), Set.of()));
            order.adapter()
                    .ifPresent(
                            name -> {
                                if (order.kind() == OrderKind.LOAD) {
                                    adapters.add(name);
                                } else {
                                    adapters.remove(name);
                                }
                            });
            loaded.computeIfPresent(order.model(), (name, before) -> adapters);
        } else if (order.kind() == OrderKind.UNLOAD) {
            loaded.remove(order.model());
        } else {
            loaded.put(order.model(), Set.of());
        }
        return new ServerModelState(
                stock.orderCount(),
                stock.executingOrder(),
                loaded,
                stock.inMemory(),
                stock.onDisk());
    }

    /** Returns the stock of a server that can take the next order. */
    public static ServerModelState withoutActiveOrder(ServerModelState stock) {
        return new ServerModelState(
                stock.orderCount(), false, stock.loaded(), stock.inMemory(), stock.onDisk());
    }

    /** Returns the stock of a server that has accepted at least the given number of orders. */
    public static ServerModelState withMinimumOrderCount(ServerModelState stock, long orders) {
        return new ServerModelState(
                Math.max(stock.orderCount(), orders),
                stock.executingOrder(),
                stock.loaded(),
                stock.inMemory(),
                stock.onDisk());
    }
}
